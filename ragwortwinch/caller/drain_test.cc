// The planned stop of a ForwardServer.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <chrono>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;
using testing::waitFor;

bool answerOk(RawSocket& socket, const std::string& request)
{
    socket.send(answerTo(request, "fine"));
    return true;
}

bool answerSlowly(RawSocket& socket, const std::string& request)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return answerOk(socket, request);
}

TEST_CASE("a draining server refuses only requests that might not finish in time")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(3000));
    RawSocket early = fixture.connect();
    early.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(early.readMessage().starts_with("HTTP/1.1 200 "));
    // Longer than ForwardOptions::drainGrace.
    std::this_thread::sleep_for(std::chrono::milliseconds(2600));
    RawSocket late = fixture.connect();
    late.send(ForwardFixture::request("/once/a", "r2"));
    CHECK(late.readMessage().starts_with("HTTP/1.1 503 "));
    RawSocket quick = fixture.connect();
    quick.send(ForwardFixture::request("/once/a", "r3", "", "Limit: 200\r\n"));
    CHECK(quick.readMessage().starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a draining server answers running requests and closes each connection")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answerSlowly);
    fixture.setEndpoints({&endpoint});
    RawSocket busy = fixture.connect();
    RawSocket idle = fixture.connect();
    busy.send(ForwardFixture::request("/once/a", "r1"));
    REQUIRE(waitFor([&] { return endpoint.requests().size() == 1; }, 1000));
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(7000));
    fixture.server().closeIdleSessions(Millis(0));
    bool hasClosed = false;
    CHECK(idle.readToEnd(hasClosed, 500).empty());
    CHECK(hasClosed);
    std::string answer = busy.readToEnd(hasClosed);
    CHECK(answer.ends_with("fine"));
    CHECK(fieldOf(answer, "Connection") == "close");
    CHECK(hasClosed);
}

TEST_CASE("closing the listener keeps accepted and queued connections until each has its answer")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answerSlowly);
    fixture.setEndpoints({&endpoint});
    RawSocket kept = fixture.connect();
    std::vector<RawSocket> callers;
    for (int number = 0; number < 20; ++number)
        callers.push_back(fixture.connect());
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(7000));
    fixture.server().closeListener();
    REQUIRE(waitFor([&] { return !fixture.connect().isOpen(); }, 1000));
    CHECK_FALSE(fixture.server().isDrained());
    // A new connection may have been accepted just before its first request arrives.
    fixture.server().closeIdleSessions(Millis(2000));
    for (std::size_t number = 0; number < callers.size(); ++number)
        callers[number].send(ForwardFixture::request("/once/a", "r" + std::to_string(number)));
    for (RawSocket& caller : callers) {
        std::string answer = caller.readMessage();
        CHECK(answer.ends_with("fine"));
        CHECK(fieldOf(answer, "Connection") == "close");
    }
    CHECK_FALSE(fixture.server().isDrained());
    fixture.server().closeIdleSessions(Millis(0));
    bool hasClosed = false;
    CHECK(kept.readToEnd(hasClosed, 500).empty());
    CHECK(hasClosed);
    CHECK(waitFor([&] { return fixture.server().isDrained(); }, 1000));
    CHECK(endpoint.requests().size() == callers.size());
}

TEST_CASE("an idle connection whose next request is in the socket is answered before it closes")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    // Whether the server sees the request or the order to close first varies from round to round.
    constexpr int rounds = 50;
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        RawSocket caller = fixture.connect();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        caller.send(ForwardFixture::request("/once/a", "r" + std::to_string(round)));
        fixture.server().closeIdleSessions(Millis(0));
        answered += caller.readMessage().ends_with("fine") ? 1 : 0;
    }
    CHECK(answered == rounds);
}

} // namespace
} // namespace ragwortwinch
