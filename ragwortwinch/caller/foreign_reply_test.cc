// Replies with the id of a request and a status of success that the endpoint itself has not produced: without
// its signature, or with an encoded body.
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
using testing::ForwardFixture;
using testing::lastChunk;
using testing::RawSocket;
using testing::streamHead;

const std::string foreignFields[] = {"Unsigned: 1\r\n", "Content-Encoding: gzip\r\n"};

std::string foreignReply(const std::string& request, int status, const std::string& extra)
{
    std::string reply = answerTo(request, "wrong bytes", status);
    reply.insert(reply.find("Content-Length"), extra);
    return reply;
}

// Returns the answer to a request on `path` when the first reply is `first` and later ones are sound.
std::string answerThrough(
    const std::string& path, const std::function<std::string(const std::string&)>& first, int& calls)
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> count{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        if (count++ == 0)
            socket.send(first(request));
        else if (request.find("/events/") != std::string::npos)
            socket.send(streamHead(request) + chunkOf(event(1)) + chunkOf(event(2)) + lastChunk);
        else
            socket.send(answerTo(request, "sound"));
        return true;
    };
    FakeEndpoint one(behaviour);
    FakeEndpoint two(behaviour);
    fixture.setEndpoints({&one, &two});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(path, "r1"));
    std::string answer = path == "/events/a" ? caller.readUntil(lastChunk, 1000) : caller.readMessage(1000);
    calls = count;
    return answer;
}

// Guards against a success of unknown origin that reaches the caller as the endpoint's.
TEST_CASE("a success without the endpoint's signature, or with an encoded body, is not relayed")
{
    for (const std::string& extra : foreignFields) {
        for (int status : {200, 201, 204, 206, 299}) {
            CAPTURE(extra);
            CAPTURE(status);
            auto foreign = [&](const std::string& request) { return foreignReply(request, status, extra); };
            int calls = 0;
            CHECK(answerThrough("/once/a", foreign, calls).starts_with("HTTP/1.1 502 "));
            CHECK(calls == 1);
            CHECK(answerThrough("/single/a", foreign, calls).starts_with("HTTP/1.1 502 "));
            CHECK(calls == 1);
            CHECK(answerThrough("/safe/a", foreign, calls).ends_with("sound"));
            CHECK(calls == 2);
            std::string answer = answerThrough("/events/a", foreign, calls);
            CHECK(answer.find("wrong") == std::string::npos);
            CHECK(answer.find("piece2") != std::string::npos);
            CHECK(calls == 2);
        }
    }
}

TEST_CASE("a stream is not resumed with events of unknown origin")
{
    for (const std::string& extra : foreignFields) {
        CAPTURE(extra);
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        std::atomic<int> count{0};
        FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
            if (count++ == 0)
                socket.send(streamHead(request) + chunkOf(event(1)));
            else
                socket.send(streamHead(request, extra) + chunkOf(event(2)) + lastChunk);
            return false;
        };
        FakeEndpoint one(behaviour);
        FakeEndpoint two(behaviour);
        fixture.setEndpoints({&one, &two});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/events/a", "r1"));
        bool hasClosed = false;
        std::string answer = caller.readToEnd(hasClosed, 1500);
        CHECK(answer.find("piece1") != std::string::npos);
        CHECK(answer.find("piece2") == std::string::npos);
        CHECK_FALSE(answer.ends_with(lastChunk));
        CHECK(hasClosed);
    }
}

} // namespace
} // namespace ragwortwinch
