// Sound endpoints that fall silent for a while and go on, through a ForwardServer: no request ends sooner for
// it. Endpoints that stay silent are replaced where another one takes the request.
#include "ragwortwinch/placement/retry_decision.h"
#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"
#include "testing/forward/paused_stream.h"
#include "testing/forward/wait_for.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::checkWhole;
using testing::chunkOf;
using testing::event;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::lastChunk;
using testing::Pause;
using testing::pauseTime;
using testing::RawSocket;
using testing::replacedPauseTime;
using testing::stream;
using testing::waitFor;

std::string refusal(const std::string& request)
{
    std::string reply = answerTo(request, "full", 503);
    return reply.insert(reply.find("Content-Length"), "Not-Run: 1\r\n");
}

// Returns the answer to a stream's request when every endpoint replies by `behaviour`.
std::string streamThrough(int endpointCount, int maxEndpoints, const FakeEndpoint::Behaviour& behaviour)
{
    ForwardFixture fixture;
    TrafficConfig config = ForwardFixture::sampleConfig();
    for (TrafficRoute& route : config.routes) {
        route.maxEndpoints = maxEndpoints;
        route.timeout = Millis(5000);
    }
    fixture.setConfig(config);
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<const FakeEndpoint*> pointers;
    for (int number = 0; number < endpointCount; ++number) {
        endpoints.push_back(std::make_unique<FakeEndpoint>(behaviour));
        pointers.push_back(endpoints.back().get());
    }
    fixture.setEndpoints(pointers);
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    return caller.readUntil(lastChunk, 4500);
}

// Guards against streams of sound endpoints that are cut for a pause when no further attempt is left.
TEST_CASE("a stream whose endpoints all pause is complete, whatever number of attempts is left")
{
    for (Pause pause : {Pause::BeforeHead, Pause::BeforeFirst, Pause::BeforeThird}) {
        for (int endpointCount : {1, 2, 3}) {
            for (int maxEndpoints : {1, 2, 3}) {
                CAPTURE(static_cast<int>(pause));
                CAPTURE(endpointCount);
                CAPTURE(maxEndpoints);
                checkWhole(streamThrough(
                    endpointCount, maxEndpoints, [&](RawSocket& socket, const std::string& request) {
                        return stream(socket, request, pause);
                    }));
            }
        }
    }
}

// Guards against streams that are cut because the endpoint that was to replace a silent one refuses.
TEST_CASE("a stream whose endpoint pauses goes on there when the others refuse, break off or fail")
{
    for (Pause pause : {Pause::BeforeHead, Pause::BeforeFirst, Pause::BeforeThird}) {
        for (int failure : {0, 1, 2}) {
            CAPTURE(static_cast<int>(pause));
            CAPTURE(failure);
            std::atomic<int> calls{0};
            std::atomic<bool> isFirst{true};
            checkWhole(streamThrough(3, 3, [&](RawSocket& socket, const std::string& request) {
                ++calls;
                if (isFirst.exchange(false))
                    return stream(
                        socket, request, pause, pause == Pause::BeforeThird ? replacedPauseTime : pauseTime);
                if (failure == 1)
                    return false;
                socket.send(failure == 0 ? refusal(request) : answerTo(request, "failed", 500));
                return true;
            }));
            CHECK(calls >= 2);
        }
    }
}

// Changes that operators and the platform make while a request runs.
enum class Change { RouteRemoved, ShorterTimeouts, NoTeams, EndpointsGone, EndpointsReplaced, VmStops };

void applyChange(ForwardFixture& fixture, Change change)
{
    TrafficConfig config = ForwardFixture::sampleConfig();
    config.version = 2;
    switch (change) {
    case Change::RouteRemoved:
        config.routes.clear();
        break;
    case Change::ShorterTimeouts:
        config.limits.idleTimeout = Millis(100);
        for (TrafficRoute& route : config.routes) {
            route.timeout = Millis(100);
            route.targetGap = Millis(10);
            route.maxEndpoints = 1;
        }
        break;
    case Change::NoTeams:
        config.teams.clear();
        break;
    case Change::EndpointsGone:
        fixture.setEndpoints({});
        return;
    case Change::EndpointsReplaced: {
        FakeEndpoint other([](RawSocket&, const std::string&) { return false; });
        fixture.setEndpoints({&other});
        return;
    }
    case Change::VmStops:
        fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(4000));
        fixture.server().closeListener();
        fixture.server().closeIdleSessions(Millis(0));
        return;
    }
    fixture.setConfig(config);
}

// Guards against requests that get neither an answer nor a refusal when an endpoint pauses beside a planned
// change.
TEST_CASE("a request whose endpoint pauses beside a change of configuration, endpoints or VMs is answered")
{
    for (Change change : {Change::RouteRemoved, Change::ShorterTimeouts, Change::NoTeams,
             Change::EndpointsGone, Change::EndpointsReplaced, Change::VmStops}) {
        for (const std::string path : {"/events/a", "/single/a", "/safe/a", "/once/a"}) {
            CAPTURE(static_cast<int>(change));
            CAPTURE(path);
            ForwardFixture fixture;
            fixture.setConfig(ForwardFixture::sampleConfig());
            bool isStream = path == "/events/a" || path == "/single/a";
            std::atomic<int> calls{0};
            FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
                // The first request leaves a connection that is used again.
                Pause pause = ++calls == 1 ? Pause::None : Pause::BeforeThird;
                if (isStream)
                    return stream(socket, request, pause);
                if (pause != Pause::None)
                    std::this_thread::sleep_for(pauseTime);
                socket.send(answerTo(request, "fine"));
                return true;
            });
            fixture.setEndpoints({&endpoint});
            RawSocket caller = fixture.connect();
            auto call = [&](const std::string& id) {
                caller.send(ForwardFixture::request(path, id));
                REQUIRE(waitFor([&] { return calls == (id == "r1" ? 1 : 2); }, 1000));
                if (id == "r2")
                    applyChange(fixture, change);
                return isStream ? caller.readUntil(lastChunk, 1900) : caller.readMessage(1900);
            };
            for (const char* id : {"r1", "r2"}) {
                std::string answer = call(id);
                if (isStream)
                    checkWhole(answer);
                else
                    CHECK(answer.ends_with("fine"));
            }
            CHECK(endpoint.connections() == 1);
        }
    }
}

TEST_CASE("a whole reply whose endpoint pauses is delivered when the others refuse")
{
    for (bool hasHead : {false, true}) {
        CAPTURE(hasHead);
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        std::atomic<bool> isFirst{true};
        FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
            if (!isFirst.exchange(false)) {
                socket.send(refusal(request));
                return true;
            }
            std::string reply = answerTo(request, "fine");
            std::size_t sent = hasHead ? reply.size() - 2 : 0;
            socket.send(reply.substr(0, sent));
            std::this_thread::sleep_for(pauseTime);
            socket.send(reply.substr(sent));
            return true;
        };
        FakeEndpoint one(behaviour);
        FakeEndpoint two(behaviour);
        fixture.setEndpoints({&one, &two});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/safe/a", "r1"));
        CHECK(caller.readMessage(1900).ends_with("fine"));
    }
}

TEST_CASE("an endpoint that stays silent is replaced, and its run is stopped")
{
    for (bool hasBegun : {false, true}) {
        CAPTURE(hasBegun);
        std::atomic<bool> isFirst{true};
        std::atomic<bool> wasClosed{false};
        std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        std::string answer = streamThrough(2, 2, [&](RawSocket& socket, const std::string& request) {
            if (!isFirst.exchange(false)) {
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                return stream(socket, request, Pause::None);
            }
            if (hasBegun)
                socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + chunkOf(event(1)) + chunkOf(event(2)));
            wasClosed = socket.waitForInput(3000);
            return false;
        });
        checkWhole(answer);
        CHECK(wasClosed);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(2000));
    }
}

// Guards against a run that goes on beside its replacement because the VM is too far behind to stop it in
// time.
TEST_CASE("a VM that is behind stops a silent run before it replaces it")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    std::atomic<bool> wasClosed{false};
    std::atomic<bool> wasClosedBefore{false};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        if (++calls == 1) {
            wasClosed = socket.waitForInput(3000);
            return false;
        }
        wasClosedBefore = waitFor([&] { return wasClosed.load(); }, 50);
        return stream(socket, request, Pause::None);
    };
    FakeEndpoint one(behaviour);
    FakeEndpoint two(behaviour);
    fixture.setEndpoints({&one, &two});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    REQUIRE(waitFor([&] { return calls == 1; }, 1000));
    RawSocket other = fixture.connect();
    other.send(ForwardFixture::request("/unknown/", "r2", "", "Stall: 350\r\n"));
    checkWhole(caller.readUntil(lastChunk, 1900));
    CHECK(calls == 2);
    CHECK(wasClosedBefore);
}

TEST_CASE("a caller that leaves while a silent endpoint is replaced stops both runs")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    std::atomic<int> closed{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string&) {
        ++calls;
        closed += socket.waitForInput(3000) ? 1 : 0;
        return false;
    };
    FakeEndpoint one(behaviour);
    FakeEndpoint two(behaviour);
    fixture.setEndpoints({&one, &two});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    REQUIRE(waitFor([&] { return calls == 2; }, 1500));
    caller.close();
    CHECK(waitFor([&] { return closed == 2; }, 500));
}

TEST_CASE("a silent endpoint may be replaced only while another attempt is allowed")
{
    RetryState state;
    state.attempts = 1;
    state.maxAttempts = 3;
    state.isRepeatable = true;
    state.maxEndpoints = 2;
    CHECK(mayReplaceSilent(state));
    RetryState changed = state;
    changed.attempts = 3;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed = state;
    changed.isRepeatable = false;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed = state;
    changed.possibleRuns = 1;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed = state;
    changed.lostConnections = 1;
    changed.maxEndpoints = 3;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed = state;
    changed.isPastDeadline = true;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed = state;
    changed.isStreamStarted = true;
    CHECK_FALSE(mayReplaceSilent(changed));
    changed.hasEventId = true;
    CHECK(mayReplaceSilent(changed));
}

} // namespace
} // namespace ragwortwinch
