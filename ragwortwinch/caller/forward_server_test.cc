#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <chrono>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::chunkOf;
using testing::event;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::lastChunk;
using testing::RawSocket;
using testing::streamHead;
using testing::waitFor;

bool answerOk(RawSocket& socket, const std::string& request)
{
    socket.send(answerTo(request, "fine"));
    return true;
}

// Guards against a fake that discards what arrives while it checks whether the connection has ended.
TEST_CASE("a fake endpoint answers requests that come after any pause")
{
    FakeEndpoint endpoint(answerOk);
    RawSocket connection = RawSocket::connectTo(endpoint.port());
    for (int millis = 98; millis < 108; ++millis) {
        CAPTURE(millis);
        std::this_thread::sleep_for(std::chrono::milliseconds(millis));
        connection.send("GET / HTTP/1.1\r\nId: r\r\n\r\n");
        CHECK(connection.readMessage(1000).ends_with("fine"));
    }
}

TEST_CASE("a request is forwarded unchanged, with the team and without the key")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a?b=c%20d", "r1", "body", "Other: kept\r\nTeam: forged\r\n"));
    std::string answer = caller.readMessage();
    CHECK(answer.starts_with("HTTP/1.1 200 Answer\r\n"));
    CHECK(answer.ends_with("\r\n\r\nfine"));
    REQUIRE(endpoint.requests().size() == 1);
    std::string sent = endpoint.requests()[0];
    CHECK(sent.starts_with("POST /once/a?b=c%20d HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\nbody"));
    CHECK(fieldOf(sent, "Other") == "kept");
    CHECK(sent.find("\r\nTeam: riders\r\n") != std::string::npos);
    CHECK(sent.find("Key:") == std::string::npos);
    CHECK(fieldOf(sent, "Endpoint") == "e0");
}

TEST_CASE("requests are refused as not run before the first configuration, then handled by its rules")
{
    ForwardFixture fixture;
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    std::string refusal = caller.readMessage();
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK_FALSE(fieldOf(refusal, "Retry-After").empty());
    fixture.setConfig(ForwardFixture::sampleConfig());
    caller.send(ForwardFixture::request("/nowhere/a", "r2"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 404 "));
    caller.send("POST /once/a HTTP/1.1\r\nHost: api\r\nId: r3\r\nKey: wrong\r\nContent-Length: 0\r\n\r\n");
    CHECK(caller.readMessage().starts_with("HTTP/1.1 401 "));
    caller.send(ForwardFixture::request("/once/a", "r4"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 503 "));
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    caller.send("GET /open/a HTTP/1.1\r\nHost: api\r\nId: r5\r\n\r\n");
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200 "));
}

TEST_CASE("an event is relayed before the next one begins")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        std::string longData(700, 'x');
        socket.send(streamHead(request) + chunkOf("id: 1\ndata: " + longData + "\n\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds(900));
        socket.send(chunkOf(event(2)) + lastChunk);
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/single/a", "r1"));
    CHECK(caller.readUntil("x\n\n", 500).ends_with("x\n\n"));
    CHECK(caller.readUntil(lastChunk).ends_with(lastChunk));
}

TEST_CASE("a caller's disconnect stops the work at the endpoint, for streamed and whole replies")
{
    for (const char* path : {"/safe/a", "/once/a", "/single/a"}) {
        CAPTURE(path);
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        std::atomic<bool> hasClosed{false};
        FakeEndpoint endpoint([&](RawSocket& socket, const std::string&) {
            bool closed = false;
            socket.readToEnd(closed, 1500);
            hasClosed.store(closed);
            return false;
        });
        fixture.setEndpoints({&endpoint});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request(path, "r1"));
        REQUIRE(waitFor([&] { return endpoint.requests().size() == 1; }, 1000));
        caller.close();
        CHECK(waitFor([&] { return hasClosed.load(); }, 500));
    }
}

TEST_CASE("a request that may not be retried is sent only once")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint::Behaviour resetConnection = [](RawSocket& socket, const std::string&) {
        socket.reset();
        return false;
    };
    FakeEndpoint first(resetConnection);
    FakeEndpoint second(resetConnection);
    fixture.setEndpoints({&first, &second});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    caller.send(ForwardFixture::request("/single/a", "r2"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("a request that may be retried goes to another endpoint after a reset or an error")
{
    for (bool isReset : {true, false}) {
        CAPTURE(isReset);
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        std::atomic<int> calls{0};
        FakeEndpoint::Behaviour firstFails = [&](RawSocket& socket, const std::string& request) {
            if (calls++ > 0)
                return answerOk(socket, request);
            if (isReset) {
                socket.reset();
                return false;
            }
            socket.send(answerTo(request, "broken", 500));
            return true;
        };
        FakeEndpoint first(firstFails);
        FakeEndpoint second(firstFails);
        fixture.setEndpoints({&first, &second});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/safe/a", "r1"));
        CHECK(caller.readMessage().ends_with("fine"));
        CHECK(first.requests().size() == 1);
        CHECK(second.requests().size() == 1);
    }
}

TEST_CASE("when every endpoint refuses, the caller gets 503 with Retry-After")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: " + fieldOf(request, "Id")
            + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    std::string refusal = caller.readMessage();
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK_FALSE(fieldOf(refusal, "Retry-After").empty());
    CHECK(fieldOf(refusal, "Id") == "r1");
}

TEST_CASE("no request is lost when an endpoint closes idle connections")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    for (int index = 0; index < 5; ++index) {
        caller.send(ForwardFixture::request("/once/a", "r" + std::to_string(index)));
        CHECK(caller.readMessage().ends_with("fine"));
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
    }
    CHECK(endpoint.requests().size() == 5);
}

TEST_CASE("a late duplicate reply to an earlier request is dropped")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::string former;
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        if (!former.empty())
            socket.send(answerTo(former, "stale"));
        former = request;
        socket.send(answerTo(request, "own " + fieldOf(request, "Id")));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    for (std::string id : {"r1", "r2", "r3"}) {
        caller.send(ForwardFixture::request("/once/a", id));
        CHECK(caller.readMessage().ends_with("own " + id));
    }
}

TEST_CASE("unsolicited bytes after a reply are not taken for the next reply")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "own " + fieldOf(request, "Id")) + answerTo(request, "twice"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    for (std::string id : {"r1", "r2"}) {
        caller.send(ForwardFixture::request("/once/a", id));
        CHECK(caller.readMessage().ends_with("own " + id));
    }
    CHECK(endpoint.connections() == 2);
}

TEST_CASE("a reply without Content-Length that ends in a reset is not relayed as complete")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n\r\nhalf an ans");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        socket.reset();
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a reply without Content-Length is complete when the endpoint closes the connection")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n\r\nwhole");
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().ends_with("whole"));
}

TEST_CASE("an interrupted stream is resumed from another endpoint without duplicate events")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        if (calls++ == 0) {
            socket.send(streamHead(request) + chunkOf(event(1) + event(2) + "id: 3\nda"));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.reset();
            return false;
        }
        // Repeats an event that the caller has already received.
        socket.send(streamHead(request) + chunkOf(event(2) + event(3)) + chunkOf(event(4)) + lastChunk);
        return true;
    };
    FakeEndpoint first(behaviour);
    FakeEndpoint second(behaviour);
    fixture.setEndpoints({&first, &second});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    std::string answer = caller.readUntil(lastChunk);
    CHECK(answer.ends_with(lastChunk));
    for (int number = 1; number <= 4; ++number) {
        std::string data = "data: piece" + std::to_string(number) + "\n";
        CHECK(answer.find(data) != std::string::npos);
        CHECK(answer.find(data) == answer.rfind(data));
    }
    std::vector<std::string> sentRequests = first.requests().size() == 1 && second.requests().size() == 1
        ? std::vector<std::string>{first.requests()[0], second.requests()[0]}
        : std::vector<std::string>{};
    REQUIRE(sentRequests.size() == 2);
    bool isFirstResumed = !fieldOf(sentRequests[0], "Last-Event-Id").empty();
    CHECK(fieldOf(sentRequests[isFirstResumed ? 0 : 1], "Last-Event-Id") == "2");
}

TEST_CASE("an interrupted stream that can't be resumed ends without the last chunk")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(streamHead(request) + chunkOf(event(1)));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        socket.reset();
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/single/a", "r1"));
    bool hasClosed = false;
    std::string answer = caller.readToEnd(hasClosed);
    CHECK(hasClosed);
    CHECK(answer.find("piece1") != std::string::npos);
    CHECK(answer.find(lastChunk) == std::string::npos);
}

TEST_CASE("the caller's time limit is forwarded, and a request without a reply times out")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string&) {
        bool hasClosed = false;
        socket.readToEnd(hasClosed, 1500);
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    caller.send(ForwardFixture::request("/once/a", "r1", "", "Limit: 300\r\n"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 504 "));
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(800));
    CHECK(std::stoi(fieldOf(endpoint.requests()[0], "Limit")) <= 300);
}

TEST_CASE("a retried request counts once in the team's usage")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "x", calls++ % 2 ? 200 : 500));
        return true;
    });
    FakeEndpoint other([&](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "x", calls++ % 2 ? 200 : 500));
        return true;
    });
    fixture.setEndpoints({&endpoint, &other});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/safe/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200 "));
    std::int64_t counted = 0;
    for (const auto& [window, teams] : fixture.usage().totals())
        counted += teams.at("riders").requests;
    CHECK(counted == 1);
}

} // namespace
} // namespace ragwortwinch
