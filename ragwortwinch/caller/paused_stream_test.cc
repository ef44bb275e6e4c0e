// Streams whose endpoints pause, and what their callers wait for.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/paused_stream.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::checkWhole;
using testing::chunkOf;
using testing::event;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::lastChunk;
using testing::Pause;
using testing::RawSocket;
using testing::stream;

// Callers leave a stream after a gap of this length.
constexpr int callerPatienceMillis = 2000;

// Guards against streams that callers leave because the replacement of an endpoint that pauses pauses as
// well, so that the caller waits for the gap timeout and a whole pause.
TEST_CASE("a stream whose endpoints all pause for 1.3 s reaches a caller that leaves after a gap of 2 s")
{
    constexpr std::chrono::milliseconds longPause{1300};
    for (int endpointCount : {1, 2, 3}) {
        CAPTURE(endpointCount);
        ForwardFixture fixture;
        TrafficConfig config = ForwardFixture::sampleConfig();
        for (TrafficRoute& route : config.routes) {
            route.targetGap = Millis(150);
            route.timeout = Millis(5000);
        }
        fixture.setConfig(config);
        FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
            return stream(socket, request, Pause::BeforeThird, longPause);
        };
        std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
        std::vector<const FakeEndpoint*> pointers;
        for (int number = 0; number < endpointCount; ++number) {
            endpoints.push_back(std::make_unique<FakeEndpoint>(behaviour));
            pointers.push_back(endpoints.back().get());
        }
        fixture.setEndpoints(pointers);
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/events/a", "r1"));
        std::string answer = caller.readUntil("piece2\n\n");
        answer += caller.readUntil(lastChunk, callerPatienceMillis);
        checkWhole(answer);
    }
}

// Guards against a caller that waits as long for an endpoint whose process has ended as for one that pauses.
TEST_CASE("a silent stream moves on at once when its endpoint refuses connections")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<bool> isFirst{true};
    std::unique_ptr<FakeEndpoint> endpoints[2];
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        if (!isFirst.exchange(false))
            return stream(socket, request, Pause::None);
        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf(event(1)));
        for (const std::unique_ptr<FakeEndpoint>& endpoint : endpoints) {
            if (endpoint->connections() > 0)
                endpoint->stopListening();
        }
        socket.waitForInput(3000);
        return false;
    };
    for (std::unique_ptr<FakeEndpoint>& endpoint : endpoints)
        endpoint = std::make_unique<FakeEndpoint>(behaviour);
    fixture.setEndpoints({endpoints[0].get(), endpoints[1].get()});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    std::string answer = caller.readUntil("piece1\n\n");
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    answer += caller.readUntil(lastChunk, callerPatienceMillis);
    checkWhole(answer);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(1300));
}

} // namespace
} // namespace ragwortwinch
