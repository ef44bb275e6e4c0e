// Asynchronous HTTP client interface, implemented with libcurl.
//
//     HttpCall call = HttpCallBuilder("POST", url).body(text).totalTimeout(Millis(500)).build();
//     std::shared_ptr<HttpCallHandle> handle = client.start(std::move(call), onDone);
//     handle->cancel();
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
    // The complete response arrived.
    Complete,
    // No byte of the request was sent: connecting failed or exceeded a time limit.
    NotConnected,
    // The connection failed or the response was truncated, after bytes of the request may have been sent.
    Broken,
    // The first-byte or idle timeout expired, or the total timeout after bytes may have been sent.
    TimedOut,
    // `cancel` was called, `onData` returned `Cancel`, or the client was destroyed.
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
    // True if any byte of the request may have been sent.
    bool mayHaveBeenSent = false;
    // 0 if the call failed before the first byte of the body.
    int status = 0;
    HttpHeaders headers;
    // Empty if the call sets `onData`.
    std::string body;
    // Description of the error; empty for a complete response.
    std::string detail;

    bool isOk() const { return end == CallEnd::Complete && status >= 200 && status < 300; }
};

// What the client does after a chunk of a streamed response.
enum class StreamFlow { Continue, Pause, Cancel };

// One request to send. Built by HttpCallBuilder.
struct HttpCall {
    std::string method;
    std::string url;
    HttpHeaders headers;
    std::string body;
    Millis connectTimeout{2000};
    // Zero means no limit.
    Millis totalTimeout{0};
    // Maximum time without data before the first byte of the body; zero means no limit.
    Millis firstByteTimeout{0};
    // Maximum time between two chunks of the body; zero means no limit.
    Millis idleTimeout{0};
    // Uses a new connection and closes it afterwards. On a reused connection that fails, libcurl may resend
    // the request by itself.
    bool freshConnection = false;
    // Limit on a body without `onData`; a longer one ends the call as `Broken`.
    std::size_t maxResponseBytes = 16 * 1024 * 1024;
    // Called at most once, with the final status and headers, when the body starts or the response is
    // complete.
    std::function<void(int status, const HttpHeaders&)> onHeaders;
    // Receives the body in chunks. After `Pause`, `resume` delivers the same chunk again.
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

// Controls a running call. Thread-safe; has no effect once the call has ended.
class HttpCallHandle {
public:
    virtual ~HttpCallHandle() = default;
    virtual void cancel() = 0;
    virtual void resume() = 0;
};

// Thread-safe. `onDone` runs exactly once for each call, also when the client is destroyed.
class HttpClient {
public:
    virtual ~HttpClient() = default;
    virtual std::shared_ptr<HttpCallHandle> start(HttpCall, std::function<void(HttpCallResult)> onDone) = 0;
};

// Creates a libcurl client that runs its own thread.
std::unique_ptr<HttpClient> makeCurlHttpClient();

// Runs one call and blocks until it ends; for command-line tools and tests.
HttpCallResult callAndWait(HttpClient&, HttpCall);

} // namespace ragwortwinch
