// After a caller closes its connection, the work for its request stops within 500 ms, whether the request is
// running or queued, streamed or not. The tests read the state of the endpoints and, for a queued request, of
// the node.
#include "testing/forward/raw_socket.h"
#include "testing/process/test_system.h"

#include <doctest/doctest.h>
#include <thread>

namespace ragwortwinch::process {
namespace {

using testing::RawSocket;

// The platform's bound for stopping work whose caller has disconnected.
constexpr Millis stopBound{500};
constexpr int longAnswerTokens = 4000;

int runningAt(TestSystem& system, std::size_t engine)
{
    return static_cast<int>(integerMember(system.control(*system.engines[engine], "state"), "running"));
}

int serviceCounter(TestSystem& system, const char* member)
{
    return static_cast<int>(integerMember(system.control(*system.services[0], "state"), member));
}

RawSocket post(TestSystem& system, const std::string& path, const std::string& body)
{
    RawSocket caller = RawSocket::connectTo(static_cast<std::uint16_t>(system.nodes[0]->port("entry_port")));
    REQUIRE(caller.isOpen());
    caller.send("POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TestSystem::key
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body);
    return caller;
}

RawSocket postChat(TestSystem& system, bool stream)
{
    Json body{{"model", "brew-model"}, {"max_tokens", longAnswerTokens}, {"stream", stream},
        {"messages", {{{"role", "user"}, {"content", "a long answer"}}}}};
    return post(system, "/v1/chat/completions", body.dump());
}

bool holdsWithinBound(const std::function<bool()>& predicate)
{
    Instant end = SystemClock().now() + stopBound;
    while (SystemClock().now() < end) {
        if (predicate())
            return true;
        std::this_thread::sleep_for(Millis(10));
    }
    return predicate();
}

void checkEngineStops(bool stream)
{
    TestSystem system({.nodes = 1, .engines = 1});
    RawSocket caller = postChat(system, stream);
    system.waitUntil("the engine generates", [&] { return runningAt(system, 0) == 1; });
    caller.close();
    CHECK(holdsWithinBound([&] { return runningAt(system, 0) == 0; }));
}

TEST_CASE("the engine stops when the caller of a non-streaming request has disconnected")
{
    checkEngineStops(false);
}

TEST_CASE("the engine stops when the caller of a stream has disconnected") { checkEngineStops(true); }

TEST_CASE("a queued request whose caller has disconnected never reaches an engine")
{
    // A request takes 251 KV blocks of 16 tokens, so only one fits at a time.
    TestSystem system({.nodes = 1, .engines = 1, .kvBlocks = "300"});
    RawSocket first = postChat(system, false);
    system.waitUntil("the engine generates", [&] { return runningAt(system, 0) == 1; });
    RawSocket second = postChat(system, false);
    system.waitUntil("the second request is queued",
        [&] { return integerMember(system.admin(0, "GET", "/dump"), "queued") == 1; });
    second.close();
    CHECK(holdsWithinBound([&] { return integerMember(system.admin(0, "GET", "/dump"), "queued") == 0; }));
    first.close();
    CHECK(holdsWithinBound([&] { return runningAt(system, 0) == 0; }));
    std::this_thread::sleep_for(stopBound);
    CHECK(runningAt(system, 0) == 0);
}

TEST_CASE("a call to a plain service is closed when its caller has disconnected")
{
    TestSystem system({.nodes = 1, .engines = 0});
    system.setFault(*system.services[0], "silent");
    RawSocket caller = post(system, "/orders/book", R"({"id":"crate"})");
    system.waitUntil(
        "the service has received the request", [&] { return serviceCounter(system, "held") == 1; });
    caller.close();
    CHECK(holdsWithinBound([&] { return serviceCounter(system, "abandoned") == 1; }));
}

} // namespace
} // namespace ragwortwinch::process
