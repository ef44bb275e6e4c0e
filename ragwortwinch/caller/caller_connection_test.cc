// Requests on connections that a ForwardServer closes: around a planned stop, and while the server is behind.
#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using std::chrono::milliseconds;
using testing::answerTo;
using testing::chunkOf;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::lastChunk;
using testing::RawSocket;
using testing::waitFor;

// Answers requests to /single/ with one event and ends that stream when told to; answers others at once.
class StreamingEndpoint {
public:
    const FakeEndpoint& endpoint() const { return endpoint_; }
    void endStream() { mayEnd_.store(true); }

private:
    bool answer(RawSocket& socket, const std::string& request)
    {
        if (request.find(" /single/") == std::string::npos) {
            socket.send(answerTo(request, "fine"));
            return true;
        }
        socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id")
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunkOf("id: 1\ndata: a\n\n"));
        waitFor([&] { return mayEnd_.load(); }, 2000);
        socket.send(lastChunk);
        return true;
    }

    std::atomic<bool> mayEnd_{false};
    FakeEndpoint endpoint_{
        [this](RawSocket& socket, const std::string& request) { return answer(socket, request); }};
};

// Holds up the forwarding thread of a server twice without a pause between, so that an event which comes up
// during the first time is handled after the second.
class TwoStalls {
public:
    // The first one begins.
    explicit TwoStalls(const ForwardFixture& fixture)
        : first_(fixture.connect())
        , second_(fixture.connect())
    {
        std::string request = ForwardFixture::request("/open/a", "stall-2", "", "Stall: 400\r\n");
        second_.send(request.substr(0, 20));
        rest_ = request.substr(20);
        std::this_thread::sleep_for(milliseconds(50));
        first_.send(ForwardFixture::request("/open/a", "stall-1", "", "Stall: 300\r\n"));
        std::this_thread::sleep_for(milliseconds(100));
    }

    // The second one follows the first. To be called while the first one lasts.
    void addSecond() { second_.send(rest_); }

private:
    RawSocket first_;
    RawSocket second_;
    std::string rest_;
};

TEST_CASE("a stopping server answers a request that it has read behind a stream from before the stop")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    StreamingEndpoint streaming;
    fixture.setEndpoints({&streaming.endpoint()});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/single/a", "r1"));
    REQUIRE(caller.readUntil("data: a\n\n").ends_with("data: a\n\n"));
    caller.send(ForwardFixture::request("/once/a", "r2"));
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(7000));
    streaming.endStream();
    CHECK(caller.readUntil(lastChunk).ends_with(lastChunk));
    std::string answer = caller.readMessage();
    CHECK(answer.ends_with("fine"));
    CHECK(fieldOf(answer, "Connection") == "close");
    bool hasClosed = false;
    CHECK(caller.readToEnd(hasClosed, 1000).empty());
    CHECK(hasClosed);
}

TEST_CASE("a stopping server that is behind answers a request that follows a stream from before the stop")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    StreamingEndpoint streaming;
    fixture.setEndpoints({&streaming.endpoint()});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/single/a", "r1"));
    REQUIRE(caller.readUntil("data: a\n\n").ends_with("data: a\n\n"));
    TwoStalls stalls(fixture);
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(7000));
    streaming.endStream();
    std::this_thread::sleep_for(milliseconds(50));
    stalls.addSecond();
    REQUIRE(caller.readUntil(lastChunk).ends_with(lastChunk));
    caller.send(ForwardFixture::request("/once/a", "r2"));
    std::string answer = caller.readMessage();
    CHECK(answer.ends_with("fine"));
    CHECK(fieldOf(answer, "Connection") == "close");
}

TEST_CASE("the times of a stop count from its order, also on a server that is behind")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    StreamingEndpoint streaming;
    fixture.setEndpoints({&streaming.endpoint()});
    Instant now = SystemClock().now();
    // The order is older than ForwardOptions::drainGrace.
    fixture.server().beginDrain(now - Millis(3000), now + Millis(500));
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 503 "));
}

TEST_CASE("a server that ends answers the requests that still run")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    StreamingEndpoint streaming;
    FakeEndpoint silent([](RawSocket& socket, const std::string&) {
        waitFor([&] { return socket.waitForInput(0); }, 2000);
        return false;
    });
    fixture.setEndpoints({&silent});
    RawSocket whole = fixture.connect();
    whole.send(ForwardFixture::request("/once/a", "r1"));
    REQUIRE(waitFor([&] { return silent.requests().size() == 1; }, 1000));
    fixture.setEndpoints({&streaming.endpoint()});
    RawSocket stream = fixture.connect();
    stream.send(ForwardFixture::request("/single/a", "r2"));
    REQUIRE(stream.readUntil("data: a\n\n").ends_with("data: a\n\n"));
    fixture.server().beginDrain(SystemClock().now(), SystemClock().now() + Millis(7000));
    fixture.server().endRequests();
    std::string answer = whole.readMessage(500);
    CHECK(answer.starts_with("HTTP/1.1 502 "));
    CHECK(fieldOf(answer, "Connection") == "close");
    bool hasClosed = false;
    CHECK(stream.readToEnd(hasClosed, 500).find(lastChunk) == std::string::npos);
    CHECK(hasClosed);
    CHECK(waitFor(
        [&] { return fixture.connectionEnds(ConnectionEnd::Aborted, UnansweredInput::Request) == 1; }, 500));
}

TEST_CASE("a request that arrives as the idle timeout passes is answered by a server that is behind")
{
    ForwardFixture fixture;
    TrafficConfig config = ForwardFixture::sampleConfig();
    config.limits.idleTimeout = Millis(300);
    fixture.setConfig(config);
    StreamingEndpoint streaming;
    fixture.setEndpoints({&streaming.endpoint()});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    REQUIRE(caller.readMessage().ends_with("fine"));
    // The timeout passes while the first stall lasts, and the request arrives during the second.
    TwoStalls stalls(fixture);
    stalls.addSecond();
    std::this_thread::sleep_for(milliseconds(400));
    caller.send(ForwardFixture::request("/once/a", "r2"));
    CHECK(caller.readMessage().ends_with("fine"));
}

TEST_CASE("a caller that pauses while it reads receives its whole reply")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::string body(2000000, 'x');
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, body));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    std::this_thread::sleep_for(milliseconds(4000));
    CHECK(caller.readMessage().size() > body.size());
}

TEST_CASE("a busy server accepts new connections within two turns of its queue")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    StreamingEndpoint streaming;
    fixture.setEndpoints({&streaming.endpoint()});
    // Each turn of the server's queue takes 40 times 5 ms.
    constexpr int busyCallers = 40;
    constexpr int requestsEach = 30;
    constexpr int newCallers = 20;
    std::vector<RawSocket> busy;
    for (int caller = 0; caller < busyCallers; ++caller) {
        busy.push_back(fixture.connect());
        std::string requests;
        for (int number = 0; number < requestsEach; ++number)
            requests += ForwardFixture::request("/nowhere/a", "b", "", "Stall: 5\r\n");
        busy.back().send(requests);
    }
    std::this_thread::sleep_for(milliseconds(300));
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::vector<RawSocket> callers;
    for (int caller = 0; caller < newCallers; ++caller) {
        callers.push_back(fixture.connect());
        callers.back().send(ForwardFixture::request("/once/a", "n" + std::to_string(caller)));
    }
    for (RawSocket& caller : callers)
        CHECK(caller.readMessage().ends_with("fine"));
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(2000));
}

} // namespace
} // namespace ragwortwinch
