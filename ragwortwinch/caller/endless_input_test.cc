// Bytes without end, from endpoints and callers, where a part of a message is due that has an end. The memory
// for them is bounded, the connection ends, and other requests go on.
#include "ragwortwinch/forward/reply_buffer.h"
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <atomic>
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

// More than any of these parts may have, plus what the kernel holds of a connection that isn't read any more.
constexpr std::size_t maxAcceptedBytes = 24 * 1024 * 1024;
constexpr std::size_t endlessBytes = 96 * 1024 * 1024;

// Sends `piece` again and again until the peer answers, closes the connection or `endlessBytes` are sent.
// Returns the bytes that were sent.
std::size_t sendWithoutEnd(RawSocket& socket, const std::string& piece)
{
    std::string block;
    while (block.size() < 64 * 1024)
        block += piece;
    std::size_t sent = 0;
    while (sent < endlessBytes && !socket.waitForInput(0)) {
        ssize_t size = ::send(socket.descriptor(), block.data(), block.size(), MSG_NOSIGNAL);
        if (size <= 0)
            break;
        sent += static_cast<std::size_t>(size);
    }
    return sent;
}

struct EndlessReply {
    std::string what;
    std::string path;
    // What the endpoint sends before the bytes without end, behind the first line and the id.
    std::string start;
    // Repeated without end.
    std::string piece;
};

void checkEndlessReply(const EndlessReply& reply)
{
    CAPTURE(reply.what);
    CAPTURE(reply.path);
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<std::size_t> sent{0};
    std::atomic<bool> hasEnded{false};
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        if (fieldOf(request, "Id") != "endless") {
            socket.send(answerTo(request, "fine"));
            return true;
        }
        socket.send("HTTP/1.1 200 OK\r\nId: endless\r\n" + reply.start);
        sent = sendWithoutEnd(socket, reply.piece);
        hasEnded = true;
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(reply.path, "endless"));
    RawSocket other = fixture.connect();
    other.send(ForwardFixture::request("/once/other", "other"));
    CHECK(other.readMessage().ends_with("fine"));
    // Well before the request's deadline.
    CHECK(waitFor([&] { return hasEnded.load(); }, 1500));
    CHECK(sent.load() < maxAcceptedBytes);
    bool hasClosed = false;
    std::string answer = caller.readToEnd(hasClosed, 1500);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    bool isFailure = answer.starts_with("HTTP/1.1 502 ");
    CHECK((isFailure || hasClosed));
}

// Guards against a VM whose memory one endpoint exhausts with a reply whose chunk header or trailer never
// ends.
TEST_CASE("bytes without end where a chunk or the trailer of a reply is due end the connection")
{
    const std::string chunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string event = chunkOf("id: 1\ndata: a\n\n");
    for (const char* path : {"/single/a", "/events/a", "/safe/a", "/once/a"}) {
        checkEndlessReply({"chunk extension", path, chunked + event + "1;", "x"});
        checkEndlessReply({"chunk size", path, chunked + event, "0"});
        checkEndlessReply({"trailer line", path, chunked + event + "0\r\nOther: ", "x"});
        checkEndlessReply({"trailer lines", path, chunked + event + "0\r\n", "Other: x\r\n"});
    }
}

TEST_CASE("a head of a reply without end ends the connection")
{
    checkEndlessReply({"header line", "/single/a", "Other: ", "x"});
    checkEndlessReply({"header lines", "/once/a", "", "Other: x\r\n"});
}

// Guards against a VM whose memory one endpoint exhausts with an event that never ends.
TEST_CASE("an event without end ends the connection")
{
    const std::string event = "id: 1\ndata: a\n\n";
    for (const char* path : {"/single/a", "/events/a"}) {
        for (const std::string& piece :
            {std::string(64, 'x'), std::string("data: x\n"), std::string(": x\n")}) {
            for (const std::string& start : {event, std::string("id: 1\ndata: ")}) {
                CAPTURE(piece);
                checkEndlessReply({"until the connection ends", path,
                    "Content-Type: text/event-stream\r\n\r\n" + start, piece});
                std::string head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                checkEndlessReply({"small chunks", path, head + chunkOf(start), chunkOf(piece)});
                checkEndlessReply({"a large chunk", path, head + chunkOf(start) + "FFFFFFFF\r\n", piece});
            }
        }
    }
}

// Guards against a VM whose memory several long replies at once exhaust, each of them within its own limit.
TEST_CASE("several long replies at once are read only up to a limit on all of them, and short ones go on")
{
    constexpr std::size_t callerCount = 8;
    constexpr std::size_t replyBytes = 12 * 1024 * 1024;
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<std::size_t> readyCount{0};
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        if (fieldOf(request, "Id").starts_with("short")) {
            socket.send(answerTo(request, std::string(50000, 's')));
            return true;
        }
        // All but the last byte, until the short replies have been read.
        socket.send(answerTo(request, std::string(replyBytes, 'l')).substr(0, replyBytes));
        ++readyCount;
        socket.waitForInput(1000);
        return false;
    });
    fixture.setEndpoints({&endpoint});
    std::vector<RawSocket> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(fixture.connect());
        callers.back().send(ForwardFixture::request("/once/a", "long" + std::to_string(number)));
    }
    REQUIRE(waitFor([&] { return readyCount == callerCount; }, 1500));
    std::size_t endedCount = 0;
    for (RawSocket& caller : callers)
        endedCount += caller.waitForInput(100) ? 1 : 0;
    CHECK((callerCount - endedCount) * replyBytes <= ReplyMemory::maxBytes);
    for (int number = 0; number < 4; ++number) {
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/once/a", "short" + std::to_string(number)));
        CHECK(caller.readMessage().ends_with("ssss"));
    }
}

// Guards against requests that are held until their deadline by bytes that nobody wants.
TEST_CASE("what is dropped of a reply is read only up to a limit")
{
    struct Case {
        const char* what;
        // Sent before the bytes without end.
        std::string start;
        std::string piece;
        const char* status;
    };
    const std::string chunk = chunkOf(std::string(1000, 'x'));
    const std::vector<Case> cases{
        {"the body of a refusal",
            "HTTP/1.1 503 Full\r\nId: endless\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk,
            "HTTP/1.1 503 "},
        {"a reply to an earlier request",
            "HTTP/1.1 200 OK\r\nId: earlier\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, "HTTP/1.1 502 "},
        {"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 502 "},
    };
    for (const Case& reply : cases) {
        CAPTURE(std::string(reply.what));
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        FakeEndpoint endpoint([&](RawSocket& socket, const std::string&) {
            socket.send(reply.start);
            sendWithoutEnd(socket, reply.piece);
            return false;
        });
        fixture.setEndpoints({&endpoint});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/once/a", "endless"));
        CHECK(caller.readMessage(1000).starts_with(reply.status));
    }
}

struct EndlessRequest {
    std::string what;
    std::string start;
    std::string piece;
};

// Guards against a VM whose memory one caller exhausts with a chunk header or trailer that never ends.
TEST_CASE("bytes without end where a chunk or the trailer of a request is due are rejected")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    const std::string head
        = "POST /once/a HTTP/1.1\r\nHost: api\r\nId: r1\r\nKey: key\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<EndlessRequest> requests{
        {"chunk extension", head + "1;", "x"},
        {"chunk size", head, "0"},
        {"trailer line", head + "0\r\nOther: ", "x"},
        {"trailer lines", head + "0\r\n", "Other: x\r\n"},
    };
    for (const EndlessRequest& request : requests) {
        CAPTURE(request.what);
        RawSocket caller = fixture.connect();
        caller.send(request.start);
        std::size_t sent = sendWithoutEnd(caller, request.piece);
        CHECK(sent < maxAcceptedBytes);
        CHECK(caller.readMessage().starts_with("HTTP/1.1 4"));
        CHECK(endpoint.requests().empty());
    }
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r2"));
    CHECK(caller.readMessage().ends_with("fine"));
}

} // namespace
} // namespace ragwortwinch
