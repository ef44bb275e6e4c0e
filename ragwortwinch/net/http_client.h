// An HTTP client behind an interface; libcurl carries it.
//
//     HttpCall call = HttpCallBuilder("POST", url).body(text).totalTimeout(Millis(500)).build();
//     std::shared_ptr<HttpCallHandle> handle = client.start(std::move(call), [](HttpCallResult result) { ...
//     }); handle->cancel();
//
// Callbacks run on the client's own thread and must not block.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortwinch {

// How a call ended.
enum class CallEnd {
    // A whole response arrived.
    Complete,
    // No connection was made, so no byte of the request has left.
    NotConnected,
    // The connection broke, or the response was cut, after bytes may have left.
    Broken,
    // A bound on time passed.
    TimedOut,
    // `cancel` was called.
    Cancelled,
};

inline constexpr NameTable<CallEnd, 5> callEndNames{{{
    {CallEnd::Complete, "complete"},
    {CallEnd::NotConnected, "not_connected"},
    {CallEnd::Broken, "broken"},
    {CallEnd::TimedOut, "timed_out"},
    {CallEnd::Cancelled, "cancelled"},
}}};

struct HttpCallResult {
    CallEnd end = CallEnd::Broken;
    // True when a byte of the request may have left this process.
    bool mayHaveBeenSent = false;
    // 0 when no status line arrived.
    int status = 0;
    HttpHeaders headers;
    // Empty when the call has an `onData`.
    std::string body;
    std::string detail;

    bool isOk() const { return end == CallEnd::Complete && status >= 200 && status < 300; }
};

// What to do after a piece of a streamed response.
enum class StreamFlow { Continue, Pause, Cancel };

// One request to send. Built by HttpCallBuilder.
struct HttpCall {
    std::string method;
    std::string url;
    HttpHeaders headers;
    std::string body;
    Millis connectTimeout{2000};
    // Zero means none.
    Millis totalTimeout{0};
    // The longest wait for the first byte of the body; zero means none.
    Millis firstByteTimeout{0};
    // The longest silence between two pieces of the body; zero means none.
    Millis idleTimeout{0};
    // Uses a connection of its own and closes it after; libcurl may otherwise repeat a request on a
    // connection that died.
    bool freshConnection = false;
    std::size_t maxResponseBytes = 16 * 1024 * 1024;
    // Called once with the final status and headers, before any data.
    std::function<void(int status, const HttpHeaders&)> onHeaders;
    // Receives the body in pieces. On `Pause` the same piece is delivered again after `resume`.
    std::function<StreamFlow(std::string_view)> onData;
};

class HttpCallBuilder {
public:
    HttpCallBuilder(std::string method, std::string url)
    {
        call_.method = std::move(method);
        call_.url = std::move(url);
    }
    HttpCallBuilder& header(std::string name, std::string value)
    {
        call_.headers.add(std::move(name), std::move(value));
        return *this;
    }
    HttpCallBuilder& body(std::string value)
    {
        call_.body = std::move(value);
        return *this;
    }
    HttpCallBuilder& connectTimeout(Millis value)
    {
        call_.connectTimeout = value;
        return *this;
    }
    HttpCallBuilder& totalTimeout(Millis value)
    {
        call_.totalTimeout = value;
        return *this;
    }
    HttpCallBuilder& firstByteTimeout(Millis value)
    {
        call_.firstByteTimeout = value;
        return *this;
    }
    HttpCallBuilder& idleTimeout(Millis value)
    {
        call_.idleTimeout = value;
        return *this;
    }
    HttpCallBuilder& freshConnection(bool value)
    {
        call_.freshConnection = value;
        return *this;
    }
    HttpCallBuilder& onHeaders(std::function<void(int, const HttpHeaders&)> value)
    {
        call_.onHeaders = std::move(value);
        return *this;
    }
    HttpCallBuilder& onData(std::function<StreamFlow(std::string_view)> value)
    {
        call_.onData = std::move(value);
        return *this;
    }
    HttpCall build() { return std::move(call_); }

private:
    HttpCall call_;
};

// Steers a running call. Thread-safe; harmless after the call has ended.
class HttpCallHandle {
public:
    virtual ~HttpCallHandle() = default;
    virtual void cancel() = 0;
    virtual void resume() = 0;
};

// Thread-safe. Every call's callback runs exactly once, also when the client is destroyed.
class HttpClient {
public:
    virtual ~HttpClient() = default;
    virtual std::shared_ptr<HttpCallHandle> start(HttpCall, std::function<void(HttpCallResult)> onDone) = 0;
};

// Makes the libcurl client, with a thread of its own.
std::unique_ptr<HttpClient> makeCurlHttpClient();

// Runs one call and waits for it; for command lines and tests.
HttpCallResult callAndWait(HttpClient&, HttpCall);

} // namespace ragwortwinch
