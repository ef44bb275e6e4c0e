#include "ragwortwinch/net/http_server.h"
#include "testing/forward/raw_socket.h"

#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

namespace ragwortwinch {
namespace {

using testing::RawSocket;

// Keeps the responders, so that the test decides when to respond.
class DeferringHandler final : public HttpHandler {
public:
    void handle(HttpRequest, std::shared_ptr<HttpResponder> responder) override
    {
        responder->onClosed([this] { closedCount_.fetch_add(1); });
        std::lock_guard<std::mutex> lock(mutex_);
        responders_.push_back(std::move(responder));
    }
    std::size_t requestCount() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return responders_.size();
    }
    std::shared_ptr<HttpResponder> at(std::size_t index) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return responders_.at(index);
    }
    int closedCount() const { return closedCount_.load(); }
    // Destroys the responders; the server sends its default response to requests without one.
    void release()
    {
        std::vector<std::shared_ptr<HttpResponder>> responders;
        std::lock_guard<std::mutex> lock(mutex_);
        responders.swap(responders_);
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::shared_ptr<HttpResponder>> responders_;
    std::atomic<int> closedCount_{0};
};

struct RunningServer {
    RunningServer()
        : server(handleErrors([this] { return HttpServerBuilder().threads(2).handler(handler).start(); },
            [](const Error&) { return std::unique_ptr<HttpServer>(); }))
    {
        REQUIRE(server);
    }
    ~RunningServer() { handler->release(); }

    RawSocket sendRequest(const std::string& path = "/")
    {
        RawSocket caller = RawSocket::connectTo(server->port());
        caller.send(request(path));
        return caller;
    }
    static std::string request(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    // Waits up to half a second, the platform's time limit for detecting that a caller has closed.
    static bool waitUntil(const std::function<bool()>& predicate)
    {
        for (int step = 0; step < 50 && !predicate(); ++step)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return predicate();
    }

    std::shared_ptr<DeferringHandler> handler = std::make_shared<DeferringHandler>();
    std::unique_ptr<HttpServer> server;
};

TEST_CASE("a handler is notified within half a second that its caller has closed or reset the connection")
{
    for (bool byReset : {false, true}) {
        RunningServer running;
        RawSocket caller = running.sendRequest();
        REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == 1; }));
        byReset ? caller.reset() : caller.close();
        CHECK(running.waitUntil([&] { return running.handler->closedCount() == 1; }));
        CHECK(running.handler->at(0)->isClosed());
    }
}

TEST_CASE("close detection for one request does not affect the next request on the same connection")
{
    RunningServer running;
    RawSocket caller = running.sendRequest();
    for (std::size_t index = 0; index < 20; ++index) {
        REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == index + 1; }));
        running.handler->at(index)->send(jsonResponse(200, "{}"));
        CHECK(caller.readMessage().starts_with("HTTP/1.1 200"));
        caller.send(RunningServer::request("/"));
    }
    REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == 21; }));
    CHECK(running.handler->closedCount() == 0);
    caller.close();
    CHECK(running.waitUntil([&] { return running.handler->at(20)->isClosed(); }));
    CHECK(running.handler->closedCount() == 1);
}

TEST_CASE("a handler is notified that its caller has closed the connection behind a pipelined request")
{
    for (bool byReset : {false, true}) {
        CAPTURE(byReset);
        RunningServer running;
        RawSocket caller = running.sendRequest("/first");
        REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == 1; }));
        caller.send(RunningServer::request("/second"));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        byReset ? caller.reset() : caller.close();
        CHECK(running.waitUntil([&] { return running.handler->closedCount() == 1; }));
        CHECK(running.handler->at(0)->isClosed());
    }
}

TEST_CASE("pipelined requests are answered in order, and their bytes are not mistaken for a close")
{
    RunningServer running;
    RawSocket caller = running.sendRequest("/first");
    caller.send(RunningServer::request("/second"));
    REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK_FALSE(running.handler->at(0)->isClosed());
    running.handler->at(0)->send(jsonResponse(200, "{}"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200"));
    REQUIRE(running.waitUntil([&] { return running.handler->requestCount() == 2; }));
    caller.close();
    CHECK(running.waitUntil([&] { return running.handler->at(1)->isClosed(); }));
}

} // namespace
} // namespace ragwortwinch
