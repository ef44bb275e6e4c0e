// Replies without a length or chunks that are sent while the request is still being written, through a
// ForwardServer.
#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"

#include <atomic>
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

// More than the buffers of a connection take, so that the request is still being written.
constexpr std::size_t uploadBytes = 8 * 1024 * 1024;

TrafficConfig configForUploads()
{
    TrafficConfig config = ForwardFixture::sampleConfig();
    config.limits.maxBodyBytes = 2 * uploadBytes;
    return config;
}

std::string uploadTo(const std::string& path)
{
    return ForwardFixture::request(path, "r1", std::string(uploadBytes, 'u'), "Tokens: 3000\r\n");
}

std::string closeDelimitedHead(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n\r\n";
}

bool isForStream(const std::string& request) { return request.find("/events/") != std::string::npos; }

void readBody(RawSocket& socket, const std::string& head)
{
    socket.readBytes(static_cast<std::size_t>(std::stoul(fieldOf(head, "Content-Length"))));
}

bool replySoundly(RawSocket& socket, const std::string& head)
{
    readBody(socket, head);
    socket.send(
        isForStream(head) ? streamHead(head) + chunkOf(event(2)) + lastChunk : answerTo(head, "sound"));
    return true;
}

// How an endpoint in trouble ends the connection after a part of its reply.
struct Ending {
    bool isReset;
    int delayMillis;
};

void sendPartAndEnd(RawSocket& socket, const std::string& head, const std::string& part, const Ending& ending)
{
    socket.send(closeDelimitedHead(head) + part);
    std::this_thread::sleep_for(std::chrono::milliseconds(ending.delayMillis));
    // Closing with unread input resets the connection as well.
    if (ending.isReset)
        socket.reset();
}

struct Relayed {
    std::string answer;
    int calls = 0;
};

// Uploads through two endpoints, of which the first to get the request ends its reply so.
Relayed relayUpload(const std::string& path, const Ending& ending, bool isOnKeptConnection)
{
    ForwardFixture fixture;
    fixture.setConfig(configForUploads());
    std::atomic<int> calls{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& head) {
        bool isFirst = fieldOf(head, "Id") == "r1" && calls++ == 0;
        if (!isFirst)
            return replySoundly(socket, head);
        sendPartAndEnd(socket, head, event(1), ending);
        return false;
    };
    FakeEndpoint one(behaviour, FakeEndpoint::Reads::Heads);
    FakeEndpoint two(behaviour, FakeEndpoint::Reads::Heads);
    fixture.setEndpoints({&one, &two});
    RawSocket caller = fixture.connect();
    for (int index = 0; isOnKeptConnection && index < 4; ++index) {
        caller.send(ForwardFixture::request("/safe/a", "before" + std::to_string(index)));
        REQUIRE(caller.readMessage().ends_with("sound"));
    }
    caller.send(uploadTo(path));
    bool isStream = path == "/events/a" || path == "/single/a";
    Relayed relayed;
    relayed.answer = isStream ? caller.readUntil(lastChunk, 1500) : caller.readMessage(1500);
    relayed.calls = calls;
    return relayed;
}

// Guards against a part of a reply that reaches the caller as the whole: the write of the request had taken
// the reset, so that the read saw an ordinary end of the connection.
TEST_CASE("a reply without a length that is reset while the request is written is never complete")
{
    for (const Ending& ending :
        {Ending{true, 0}, Ending{true, 20}, Ending{true, 200}, Ending{false, 0}, Ending{false, 100}}) {
        for (bool isOnKeptConnection : {false, true}) {
            CAPTURE(ending.isReset);
            CAPTURE(ending.delayMillis);
            CAPTURE(isOnKeptConnection);
            Relayed once = relayUpload("/once/a", ending, isOnKeptConnection);
            CHECK(once.answer.starts_with("HTTP/1.1 502 "));
            CHECK(once.calls == 1);
            Relayed single = relayUpload("/single/a", ending, isOnKeptConnection);
            CHECK_FALSE(single.answer.ends_with(lastChunk));
            CHECK(single.calls == 1);
            for (const std::string path : {"/safe/a", "/open/a"}) {
                CAPTURE(path);
                Relayed repeated = relayUpload(path, ending, isOnKeptConnection);
                CHECK(repeated.answer.ends_with("sound"));
                CHECK(repeated.calls == 2);
            }
            Relayed resumed = relayUpload("/events/a", ending, isOnKeptConnection);
            CHECK(resumed.answer.find("piece2") != std::string::npos);
            CHECK(resumed.answer.ends_with(lastChunk));
            CHECK(resumed.calls == 2);
        }
    }
}

TEST_CASE("a part of a prefill's reply that is reset while the prompt is written names no KV cache")
{
    ForwardFixture fixture;
    fixture.setConfig(configForUploads());
    FakeEndpoint prefillEngine(
        [](RawSocket& socket, const std::string& head) {
            sendPartAndEnd(socket, head, "hand", {true, 20});
            return false;
        },
        FakeEndpoint::Reads::Heads);
    FakeEndpoint decodeEngine(
        [](RawSocket& socket, const std::string& head) {
            readBody(socket, head);
            socket.send(streamHead(head) + chunkOf(event(1)) + lastChunk);
            return true;
        },
        FakeEndpoint::Reads::Heads);
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}, {&decodeEngine, EngineRole::Decode}});
    RawSocket caller = fixture.connect();
    caller.send(uploadTo("/prompt/a"));
    CHECK(caller.readUntil(lastChunk).ends_with(lastChunk));
    CHECK(prefillEngine.requests().size() == 1);
    REQUIRE(decodeEngine.requests().size() == 1);
    CHECK(fieldOf(decodeEngine.requests()[0], "Cache").empty());
}

TEST_CASE("a reply without a length that ends before the request was read is complete once that is written")
{
    for (const std::string path : {"/once/a", "/single/a"}) {
        for (bool closesFirst : {false, true}) {
            CAPTURE(path);
            CAPTURE(closesFirst);
            ForwardFixture fixture;
            fixture.setConfig(configForUploads());
            FakeEndpoint endpoint(
                [&](RawSocket& socket, const std::string& head) {
                    socket.send(closeDelimitedHead(head) + event(1));
                    if (closesFirst)
                        shutdown(socket.descriptor(), SHUT_WR);
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                    readBody(socket, head);
                    return false;
                },
                FakeEndpoint::Reads::Heads);
            fixture.setEndpoints({&endpoint});
            RawSocket caller = fixture.connect();
            caller.send(uploadTo(path));
            std::string answer
                = path == "/single/a" ? caller.readUntil(lastChunk, 1500) : caller.readMessage(1500);
            CHECK(answer.starts_with("HTTP/1.1 200 "));
            CHECK(answer.find("piece1") != std::string::npos);
            CHECK(answer.ends_with(path == "/single/a" ? lastChunk : "\n\n"));
            CHECK(endpoint.requests().size() == 1);
        }
    }
}

} // namespace
} // namespace ragwortwinch
