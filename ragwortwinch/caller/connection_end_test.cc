// What a ForwardServer reports of the ends of its callers' connections.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::chunkOf;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;
using testing::waitFor;

constexpr int waitMillis = 1000;

// Breaks off streams behind their first event, answers nothing on /safe/, and the rest at once.
bool answer(RawSocket& socket, const std::string& request)
{
    if (request.find(" /safe/") != std::string::npos)
        return waitFor([&] { return socket.waitForInput(0); }, 2 * waitMillis);
    if (request.find(" /single/") == std::string::npos) {
        socket.send(answerTo(request, "fine"));
        return true;
    }
    socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id")
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunkOf("id: 1\ndata: a\n\n"));
    return false;
}

TEST_CASE("the end of a connection is counted by its reason and by what was not answered")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answer);
    fixture.setEndpoints({&endpoint});
    auto hasEnded = [&](ConnectionEnd end, UnansweredInput input) {
        return waitFor([&] { return fixture.connectionEnds(end, input) == 1; }, waitMillis);
    };

    RawSocket leaving = fixture.connect();
    leaving.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(leaving.readMessage().ends_with("fine"));
    leaving.close();
    CHECK(hasEnded(ConnectionEnd::CallerGone, UnansweredInput::None));

    RawSocket partial = fixture.connect();
    partial.send("POST /once/a HT");
    partial.close();
    CHECK(hasEnded(ConnectionEnd::CallerGone, UnansweredInput::Unread));

    RawSocket brokenOff = fixture.connect();
    brokenOff.send(ForwardFixture::request("/single/a", "r2"));
    bool hasClosed = false;
    brokenOff.readToEnd(hasClosed);
    CHECK(hasEnded(ConnectionEnd::Aborted, UnansweredInput::Request));

    RawSocket closing = fixture.connect();
    closing.send(ForwardFixture::request("/once/a", "r3", "", "Connection: close\r\n")
        + ForwardFixture::request("/once/a", "r4"));
    closing.readToEnd(hasClosed);
    closing.close();
    CHECK(hasEnded(ConnectionEnd::AfterReply, UnansweredInput::Dropped));

    RawSocket idle = fixture.connect();
    idle.send(ForwardFixture::request("/once/a", "r5"));
    CHECK(idle.readMessage().ends_with("fine"));
    CHECK(waitFor(
        [&] {
            fixture.server().closeIdleSessions(Millis(0));
            return fixture.connectionEnds(ConnectionEnd::IdleAtStop, UnansweredInput::None) == 1;
        },
        waitMillis));

    RawSocket waiting = fixture.connect();
    waiting.send(ForwardFixture::request("/safe/a", "r6"));
    REQUIRE(waitFor([&] { return endpoint.requests().size() == 5; }, waitMillis));
    fixture.server().reportProcessEnd(Millis(waitMillis));
    CHECK(fixture.connectionEnds(ConnectionEnd::ProcessEnd, UnansweredInput::Request) == 1);
}

} // namespace
} // namespace ragwortwinch
