// Replies whose head no endpoint in order sends, through a ForwardServer: they must not reach a caller.
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

// Returns a reply in place of a sound one to the request.
using ReplyMaker = std::function<std::string(const std::string& request)>;

struct Relayed {
    std::string answer;
    // Requests that reached the endpoints, other than the one before on a kept connection.
    int calls = 0;
};

std::string soundReply(const std::string& request)
{
    bool isStream = request.find("/events/") != std::string::npos;
    return isStream ? streamHead(request) + chunkOf(event(1)) + chunkOf(event(2)) + lastChunk
                    : answerTo(request, "sound");
}

// Sends a request on `path` to two endpoints, of which the first to get it replies with `invalid`, on a kept
// connection or a new one.
Relayed relay(const std::string& path, bool isOnKeptConnection, const ReplyMaker& invalid)
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        bool isFirst = fieldOf(request, "Id") == "r1" && calls++ == 0;
        socket.send(isFirst ? invalid(request) : soundReply(request));
        return true;
    };
    FakeEndpoint one(behaviour);
    FakeEndpoint two(behaviour);
    fixture.setEndpoints({&one, &two});
    RawSocket caller = fixture.connect();
    for (int index = 0; isOnKeptConnection && index < 4; ++index) {
        caller.send(ForwardFixture::request("/safe/a", "before" + std::to_string(index)));
        REQUIRE(caller.readMessage().ends_with("sound"));
    }
    caller.send(ForwardFixture::request(path, "r1"));
    Relayed relayed;
    relayed.answer = path == "/events/a" ? caller.readUntil(lastChunk, 1000) : caller.readMessage(1000);
    relayed.calls = calls;
    return relayed;
}

// Checks on routes of each kind that the reply is a failure of its endpoint: the request is repeated at the
// other one where the route allows it.
void checkIsFailure(const ReplyMaker& invalid)
{
    for (bool isOnKeptConnection : {false, true}) {
        CAPTURE(isOnKeptConnection);
        for (const std::string path : {"/once/a", "/single/a"}) {
            CAPTURE(path);
            Relayed relayed = relay(path, isOnKeptConnection, invalid);
            CHECK(relayed.answer.starts_with("HTTP/1.1 502 "));
            CHECK(relayed.calls == 1);
        }
        for (const std::string path : {"/safe/a", "/open/a", "/events/a"}) {
            CAPTURE(path);
            Relayed relayed = relay(path, isOnKeptConnection, invalid);
            CHECK(relayed.answer.starts_with("HTTP/1.1 200 "));
            CHECK(relayed.answer.find("wrong") == std::string::npos);
            CHECK(relayed.calls == 2);
        }
    }
}

// Guards against a reply with a status such as 000, from an endpoint in trouble, that reaches the caller as
// its answer.
TEST_CASE("a reply with a status outside of 100 to 599 is a failure of its endpoint")
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        CAPTURE(status);
        auto withStatus = [&](const std::string& reply) {
            return "HTTP/1.1 " + status + reply.substr(reply.find(" Answer"));
        };
        checkIsFailure([&](const std::string& request) { return withStatus(answerTo(request, "wrong")); });
    }
}

TEST_CASE("a reply with a field whose name is invalid is a failure of its endpoint")
{
    for (const std::string name :
        {"X Field", "X-Field ", "X\x01Field", "X-Field\x7f", "", "Content Length"}) {
        CAPTURE(name);
        const std::string field = name + ": 5\r\n";
        checkIsFailure([&](const std::string& request) {
            std::string reply = answerTo(request, "wrong");
            return reply.insert(reply.find("Content-Length"), field);
        });
        checkIsFailure([&](const std::string& request) {
            return "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + answerTo(request, "wrong");
        });
    }
}

// Guards against a body in a coding that nobody asked for, or with the marks of its chunks, that reaches the
// caller.
TEST_CASE("a reply with a transfer coding other than chunked is a failure of its endpoint")
{
    auto framed
        = [](const std::string& request, const std::string& fields, const std::string& version = "1.1") {
              return "HTTP/" + version + " 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n" + fields
                  + "Connection: keep-alive\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
          };
    for (const std::string fields : {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: chunked, chunked\r\n",
             "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
             "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"}) {
        CAPTURE(fields);
        checkIsFailure([&](const std::string& request) { return framed(request, fields); });
    }
    checkIsFailure(
        [&](const std::string& request) { return framed(request, "Transfer-Encoding: chunked\r\n", "1.0"); });
}

// Guards against a head put together from the replies to two requests.
TEST_CASE("a reply that names two requests is a failure of its endpoint")
{
    for (bool isOwnIdFirst : {false, true}) {
        for (const std::string extra : {"", "Not-Run: 1\r\n"}) {
            CAPTURE(isOwnIdFirst);
            CAPTURE(extra);
            checkIsFailure([&](const std::string& request) {
                std::string reply = answerTo(request, "wrong");
                std::size_t place = reply.find(isOwnIdFirst ? "Content-Length" : "Id: ");
                return reply.insert(place, "Id: other\r\n" + extra);
            });
        }
    }
}

} // namespace
} // namespace ragwortwinch
