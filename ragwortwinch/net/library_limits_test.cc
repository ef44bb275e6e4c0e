// Behaviour of RESTinio and libcurl that the forwarding path can't accept, which is why it uses Boost.Beast.
// If one of these tests fails after a library update, that reason no longer holds.
#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/net/http_server.h"
#include "testing/forward/fake_endpoint.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::FakeEndpoint;
using testing::RawSocket;

// Responds immediately.
class AnsweringHandler final : public HttpHandler {
public:
    void handle(HttpRequest, std::shared_ptr<HttpResponder> responder) override
    {
        responder->send(jsonResponse(200, "{}"));
    }
};

// The platform's configuration sets two timeouts, a short one for a request's header and a long one for an
// idle connection, and changes them while connections are open.
TEST_CASE("RESTinio has a single timeout for slow requests and idle connections, fixed at start-up")
{
    HttpServerLimits limits;
    limits.readTimeoutSeconds = 1;
    std::unique_ptr<HttpServer> server = handleErrors(
        [&] {
            return HttpServerBuilder().limits(limits).handler(std::make_shared<AnsweringHandler>()).start();
        },
        [](const Error&) { return std::unique_ptr<HttpServer>(); });
    REQUIRE(server);
    RawSocket idle = RawSocket::connectTo(server->port());
    idle.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(idle.readMessage().starts_with("HTTP/1.1 200"));
    RawSocket slow = RawSocket::connectTo(server->port());
    slow.send("GET / HTTP/1.1\r\nHost:");
    bool isIdleCut = false;
    idle.readToEnd(isIdleCut, 5000);
    CHECK(isIdleCut);
    bool isSlowCut = false;
    slow.readToEnd(isSlowCut, 5000);
    CHECK(isSlowCut);
}

TEST_CASE("libcurl resends a request by itself when a reused connection fails")
{
    std::atomic<int> served{0};
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string&) {
        // The second request is read, so it may have been executed, but gets no response.
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
