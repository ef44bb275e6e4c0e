// HTTP server interface. Only its implementation includes RESTinio.
//
//     Result<std::unique_ptr<HttpServer>> server = HttpServerBuilder()
//         .address("127.0.0.1").port(0).threads(2).handler(handler).start();
//     server.value()->port();
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/net/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortwinch {

// Sends the response to one request: either with `send`, or with `beginStream`, `writeStream` and
// `endStream`. Sends status 500 if destroyed without a response. May be used from any thread, but not by two
// threads at the same time. May outlive its server: it is closed when the server ends, and then sends
// nothing.
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
    // True once the caller has closed its connection or only its sending side, or the server has ended.
    virtual bool isClosed() const = 0;
    virtual std::size_t unsentBytes() const = 0;
    // Sets a callback that runs once: on a server thread, when the caller disconnects or a `writeStream`
    // fails, or on the thread that destroys the server. If that has happened already, it runs at once on the
    // calling thread.
    virtual void onClosed(std::function<void()>) = 0;
    // Sets a callback that runs on a server thread each time queued bytes have been written.
    virtual void onWritten(std::function<void()>) = 0;
};

// Handles requests. Called from several threads concurrently.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual void handle(HttpRequest, std::shared_ptr<HttpResponder>) = 0;
};

// A running server; stops when destroyed. Not to be destroyed on one of its own threads, nor while holding a
// lock that the `onClosed` callback of a responder takes.
class HttpServer {
public:
    virtual ~HttpServer() = default;
    virtual std::uint16_t port() const = 0;
};

// Limits on connections and on each request.
struct HttpServerLimits {
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxHeaderFields = 100;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxConnections = 6000;
    // Time limit for receiving a request, and the keep-alive timeout of an idle connection.
    int readTimeoutSeconds = 30;
    // Time limit for one write to a slow caller.
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
    // Starts the server. Fails with BadSettings if it can't listen on the address.
    Result<std::unique_ptr<HttpServer>> start();

private:
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    int threads_ = 1;
    HttpServerLimits limits_;
    std::shared_ptr<HttpHandler> handler_;
};

} // namespace ragwortwinch
