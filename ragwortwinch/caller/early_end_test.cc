// Replies that end early, cut at every byte in every framing, through a ForwardServer: a caller must never
// get one as complete.
#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"

#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <utility>

namespace ragwortwinch {
namespace {

using testing::chunkOf;
using testing::event;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;

enum class Framing { Length, Chunks, Close };

inline constexpr NameTable<Framing, 3> framingNames{{{
    {Framing::Length, "length"},
    {Framing::Chunks, "chunks"},
    {Framing::Close, "close"},
}}};

// What an endpoint does with its connection after its reply.
enum class ConnectionEnd { Keep, Close, Reset };

inline constexpr NameTable<ConnectionEnd, 3> connectionEndNames{{{
    {ConnectionEnd::Keep, "keep"},
    {ConnectionEnd::Close, "close"},
    {ConnectionEnd::Reset, "reset"},
}}};

constexpr int lastEvent = 3;

// Returns the events after `after`, up to the last one.
std::string eventsAfter(int after)
{
    std::string events;
    for (int number = after + 1; number <= lastEvent; ++number)
        events += event(number);
    return events;
}

// Returns the number of whole events at the start of `body`, or nothing if `body` ends inside an event.
std::optional<int> wholeEvents(const std::string& body)
{
    std::string events;
    for (int number = 0; number <= lastEvent; events += event(++number)) {
        if (body == events)
            return number;
    }
    return std::nullopt;
}

// Returns a reply to `request` in the given framing.
std::string replyTo(const std::string& request, Framing framing, const std::string& body)
{
    std::string head = "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n";
    switch (framing) {
    case Framing::Length:
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case Framing::Chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n"
            + (body.empty() ? std::string() : chunkOf(body.substr(0, body.size() / 2 + 1)))
            + (body.size() < 2 ? std::string() : chunkOf(body.substr(body.size() / 2 + 1))) + "0\r\n\r\n";
    case Framing::Close:
        return head + "\r\n" + body;
    }
    return head;
}

// Returns the body of a complete successful answer, or nothing for any other.
std::optional<std::string> completeBody(const std::string& answer)
{
    std::size_t headEnd = answer.find("\r\n\r\n");
    if (!answer.starts_with("HTTP/1.1 200 ") || headEnd == std::string::npos)
        return std::nullopt;
    std::string rest = answer.substr(headEnd + 4);
    std::string length = fieldOf(answer, "Content-Length");
    if (!length.empty())
        return rest.size() == std::stoul(length) ? std::optional(rest) : std::nullopt;
    std::string body;
    while (true) {
        std::size_t lineEnd = rest.find("\r\n");
        if (lineEnd == std::string::npos)
            return std::nullopt;
        std::size_t size = std::stoul(rest.substr(0, lineEnd), nullptr, 16);
        if (rest.size() < lineEnd + 2 + size + 2)
            return std::nullopt;
        if (size == 0)
            return body;
        body += rest.substr(lineEnd + 2, size);
        rest.erase(0, lineEnd + 2 + size + 2);
    }
}

// An endpoint that sends one reply after the other, each cut or framed as its test says.
class CutReplies {
public:
    // Makes the reply to a request.
    using Reply = std::function<std::string(const std::string& request)>;

    CutReplies()
        : endpoint_([this](RawSocket& socket, const std::string& request) {
            socket.send(reply_(request));
            if (connectionEnd_ == ConnectionEnd::Reset)
                socket.reset();
            return connectionEnd_ == ConnectionEnd::Keep;
        })
    {
        fixture_.setConfig(ForwardFixture::sampleConfig());
        fixture_.setEndpoints({&endpoint_});
    }

    // Sends one request and returns the caller's answer.
    std::string call(const std::string& path, Reply reply, ConnectionEnd connectionEnd)
    {
        reply_ = std::move(reply);
        connectionEnd_ = connectionEnd;
        RawSocket caller = fixture_.connect();
        caller.send(
            ForwardFixture::request(path, "r" + std::to_string(++calls_), "", "Connection: close\r\n"));
        bool hasClosed = false;
        std::string answer = caller.readToEnd(hasClosed);
        CHECK(hasClosed);
        return answer;
    }

    // Checks that each call has reached the endpoint once.
    void checkAllWereSent() const { CHECK(endpoint_.requests().size() == static_cast<std::size_t>(calls_)); }

private:
    ForwardFixture fixture_;
    Reply reply_;
    ConnectionEnd connectionEnd_ = ConnectionEnd::Close;
    int calls_ = 0;
    FakeEndpoint endpoint_;
};

// Calls `path` with a reply cut at every byte and checks that an answer is complete only if the reply was.
// `mayBeWhole` returns whether a reply without a length or chunks may be the whole one.
template <typename MayBeWhole>
void checkEveryCut(const std::string& path, const std::string& body, MayBeWhole mayBeWhole)
{
    CutReplies endpoint;
    for (Framing framing : {Framing::Length, Framing::Chunks, Framing::Close}) {
        std::string sample = replyTo("\r\nId: r100\r\n", framing, body);
        for (ConnectionEnd connectionEnd : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
            for (std::size_t left = 1; left < sample.size(); ++left) {
                CAPTURE(framingNames.name(framing));
                CAPTURE(connectionEndNames.name(connectionEnd));
                CAPTURE(left);
                std::string cutBody;
                std::string answer = endpoint.call(
                    path,
                    [&](const std::string& request) {
                        std::string reply = replyTo(request, framing, body);
                        reply.resize(reply.size() - left);
                        std::size_t headEnd = reply.find("\r\n\r\n");
                        cutBody = headEnd == std::string::npos ? "" : reply.substr(headEnd + 4);
                        return reply;
                    },
                    connectionEnd);
                std::optional<std::string> delivered = completeBody(answer);
                bool isAllowed = framing == Framing::Close && connectionEnd == ConnectionEnd::Close
                    && left <= body.size() && mayBeWhole(cutBody);
                CHECK((!delivered || isAllowed));
            }
        }
    }
    endpoint.checkAllWereSent();
}

TEST_CASE("a stream that is cut at any byte is never complete")
{
    checkEveryCut("/single/a", eventsAfter(0),
        [](const std::string& cutBody) { return wholeEvents(cutBody).value_or(0) > 0; });
}

TEST_CASE(
    "a whole reply that is cut at any byte is complete only if its connection was closed and is its end")
{
    checkEveryCut("/once/a", "twenty bytes of body", [](const std::string&) { return true; });
}

TEST_CASE("a stream that its endpoint frames as complete inside an event is never complete")
{
    CutReplies endpoint;
    std::string body = eventsAfter(0);
    for (Framing framing : {Framing::Length, Framing::Chunks}) {
        for (std::size_t size = 1; size < body.size(); ++size) {
            CAPTURE(framingNames.name(framing));
            CAPTURE(size);
            std::string cutBody = body.substr(0, size);
            std::string answer = endpoint.call(
                "/single/a", [&](const std::string& request) { return replyTo(request, framing, cutBody); },
                ConnectionEnd::Keep);
            std::optional<std::string> delivered = completeBody(answer);
            CHECK(delivered.has_value() == wholeEvents(cutBody).has_value());
        }
    }
    endpoint.checkAllWereSent();
}

TEST_CASE("a stream that is cut at any byte and resumed has each event once")
{
    // The retry budget covers a bounded number of calls.
    constexpr std::size_t maxCutsPerFixture = 40;
    std::string body = eventsAfter(0);
    for (Framing framing : {Framing::Length, Framing::Chunks, Framing::Close}) {
        std::size_t headSize = replyTo("\r\nId: r1\r\n", framing, "").size();
        std::size_t fullSize = replyTo("\r\nId: r1\r\n", framing, body).size();
        for (std::size_t from = headSize; from < fullSize; from += maxCutsPerFixture) {
            ForwardFixture fixture;
            fixture.setConfig(ForwardFixture::sampleConfig());
            std::size_t size = 0;
            bool isFirstSend = true;
            FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
                std::string resumeAfter = fieldOf(request, "Last-Event-Id");
                bool isFirst = resumeAfter.empty() && std::exchange(isFirstSend, false);
                if (isFirst)
                    socket.send(replyTo(request, framing, body).substr(0, size));
                else
                    socket.send(replyTo(request, framing, eventsAfter(std::atoi(resumeAfter.c_str()))));
                // The connection behind a whole reply may be used again.
                return !isFirst && framing != Framing::Close;
            };
            FakeEndpoint first(behaviour);
            FakeEndpoint second(behaviour);
            fixture.setEndpoints({&first, &second});
            for (size = from; size < std::min(from + maxCutsPerFixture, fullSize); ++size) {
                CAPTURE(framingNames.name(framing));
                CAPTURE(size);
                isFirstSend = true;
                RawSocket caller = fixture.connect();
                caller.send(ForwardFixture::request("/events/a", "r1", "", "Connection: close\r\n"));
                bool hasClosed = false;
                std::optional<std::string> delivered = completeBody(caller.readToEnd(hasClosed));
                REQUIRE(delivered.has_value());
                // A stream that ends with its connection between two events is taken for complete.
                std::size_t sent = size - headSize;
                bool mayEndEarly
                    = framing == Framing::Close && wholeEvents(body.substr(0, sent)).value_or(0) > 0;
                CHECK(*delivered == (mayEndEarly ? body.substr(0, sent) : body));
            }
        }
    }
}

TEST_CASE(
    "a stream that was cut inside an event is not complete before that event, also after it was resumed")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    for (Framing framing : {Framing::Length, Framing::Chunks, Framing::Close}) {
        CAPTURE(framingNames.name(framing));
        FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
            bool isResumed = !fieldOf(request, "Last-Event-Id").empty();
            // The endpoint that resumes the stream has no event behind the first.
            socket.send(isResumed ? replyTo(request, framing, "")
                                  : replyTo(request, Framing::Close, event(1) + "id: 2\nda"));
            return isResumed && framing != Framing::Close;
        };
        FakeEndpoint first(behaviour);
        FakeEndpoint second(behaviour);
        fixture.setEndpoints({&first, &second});
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/events/a", "r1", "", "Connection: close\r\n"));
        bool hasClosed = false;
        std::string answer = caller.readToEnd(hasClosed);
        CHECK(answer.find("piece1") != std::string::npos);
        CHECK_FALSE(completeBody(answer).has_value());
        CHECK(first.requests().size() + second.requests().size() == 2);
        fixture.setEndpoints({});
    }
}

} // namespace
} // namespace ragwortwinch
