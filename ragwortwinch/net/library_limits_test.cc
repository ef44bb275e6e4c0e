// What RESTinio and libcurl do in two cases that the forwarding path can't accept. These tests record the
// reason why it is built on Boost.Beast; should one of them fail after an update of a library, that reason is
// gone.
#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/net/http_server.h"
#include "testing/forward/fake_endpoint.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::FakeEndpoint;
using testing::RawSocket;

// Keeps the responder and never answers.
class SilentHandler final : public HttpHandler {
public:
    void handle(HttpRequest, std::shared_ptr<HttpResponder> responder) override
    {
        std::lock_guard<std::mutex> lock(mutex_);
        responder_ = std::move(responder);
    }
    std::shared_ptr<HttpResponder> responder() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return responder_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<HttpResponder> responder_;
};

TEST_CASE("RESTinio doesn't tell a handler that its caller has gone")
{
    std::shared_ptr<SilentHandler> handler = std::make_shared<SilentHandler>();
    std::unique_ptr<HttpServer> server
        = handleErrors([&] { return HttpServerBuilder().handler(handler).start(); },
            [](const Error&) { return std::unique_ptr<HttpServer>(); });
    REQUIRE(server);
    RawSocket caller = RawSocket::connectTo(server->port());
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    for (int step = 0; step < 100 && !handler->responder(); ++step)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    REQUIRE(handler->responder());
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    CHECK_FALSE(handler->responder()->isClosed());
}

TEST_CASE("libcurl sends a request again by itself when a kept connection dies")
{
    std::atomic<int> served{0};
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string&) {
        // The second request is read, so it may have run, and gets no answer.
        if (served++ == 1)
            return false;
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return true;
    });
    std::unique_ptr<HttpClient> client = makeCurlHttpClient();
    std::string url = "http://127.0.0.1:" + std::to_string(endpoint.port()) + "/";
    for (int index = 0; index < 2; ++index)
        callAndWait(*client, HttpCallBuilder("POST", url).body("x").totalTimeout(Millis(3000)).build());
    CHECK(endpoint.requests().size() == 3);
}

} // namespace
} // namespace ragwortwinch
