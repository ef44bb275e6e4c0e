// An HTTP server behind an interface, so that RESTinio stays in one translation unit.
//
//     std::unique_ptr<HttpServer> server = HttpServerBuilder()
//         .address("127.0.0.1").port(0).threads(2).handler(handler).start();
//     server->port();
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/net/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortwinch {

// The way back to one caller. Exactly one of `send` and `beginStream`...`endStream` is used.
// Thread-safe as long as one thread at a time uses it.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;
    // Sends the whole response.
    virtual void send(HttpResponse) = 0;
    // Starts a chunked response.
    virtual void beginStream(int status, HttpHeaders) = 0;
    // Queues one chunk. Returns the bytes queued but not yet written to the socket.
    virtual std::size_t writeStream(std::string chunk) = 0;
    // Ends the chunked response.
    virtual void endStream() = 0;
    // True once the caller has closed its connection, also only its sending side. A caller that has sent a
    // further request in advance is known to have gone only when a write fails.
    virtual bool isClosed() const = 0;
    virtual std::size_t unsentBytes() const = 0;
    // Called once, from a server thread, when the caller has gone or a write to it fails.
    virtual void onClosed(std::function<void()>) = 0;
    // Called from a server thread each time queued bytes have been written.
    virtual void onWritten(std::function<void()>) = 0;
};

// Handles requests. Called from several threads at once.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest, std::shared_ptr<HttpResponder>) = 0;
};

// A running server; stops when destroyed. Responders hold parts of it and must be gone by then.
class HttpServer {
public:
    virtual ~HttpServer() = default;
    virtual std::uint16_t port() const = 0;
};

// Bounds on what one connection may cost.
struct HttpServerLimits {
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxHeaderFields = 100;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 6000;
    // How long a request may take to arrive, and an idle connection to be kept, in seconds.
    int readTimeoutSeconds = 30;
    // How long one write to a slow caller may take, in seconds.
    int writeTimeoutSeconds = 20;
};

class HttpServerBuilder {
public:
    HttpServerBuilder& address(std::string value);
    // 0 lets the operating system choose.
    HttpServerBuilder& port(std::uint16_t value);
    HttpServerBuilder& threads(int value);
    HttpServerBuilder& limits(HttpServerLimits value);
    HttpServerBuilder& handler(std::shared_ptr<HttpHandler> value);
    // Starts the server, or returns why it can't listen.
    Result<std::unique_ptr<HttpServer>> start();

private:
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    int threads_ = 1;
    HttpServerLimits limits_;
    std::shared_ptr<HttpHandler> handler_;
};

} // namespace ragwortwinch
