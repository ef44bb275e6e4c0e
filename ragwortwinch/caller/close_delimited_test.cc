// Streams without a length or chunks, whose end is the end of the connection, through a ForwardServer.
#include "testing/forward/event_replies.h"
#include "testing/forward/forward_fixture.h"

#include <atomic>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::event;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::lastChunk;
using testing::RawSocket;

std::string head(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

// Returns the answer to a request on `path` when the endpoint sends `body` and closes the connection.
std::string answerThrough(const std::string& path, const std::string& body)
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        socket.send(head(request) + body);
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(path, "r1"));
    return caller.readUntil(lastChunk, 1000);
}

TEST_CASE("a stream that ends with its connection behind an event is complete")
{
    std::string answer = answerThrough("/single/a", event(1) + event(2));
    CHECK(answer.find("piece2") != std::string::npos);
    CHECK(answer.ends_with(lastChunk));
}

TEST_CASE("a stream that ends with its connection inside an event has been broken off")
{
    std::string answer = answerThrough("/single/a", event(1) + "id: 2\nda");
    CHECK(answer.find("piece1") != std::string::npos);
    CHECK_FALSE(answer.ends_with(lastChunk));
    CHECK(answerThrough("/single/a", "id: 1\nda").starts_with("HTTP/1.1 502 "));
}

TEST_CASE("a stream that ends with its connection inside an event is resumed where the route allows it")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> calls{0};
    FakeEndpoint::Behaviour behaviour = [&](RawSocket& socket, const std::string& request) {
        socket.send(head(request) + (calls++ == 0 ? event(1) + "id: 2\nda" : event(2)));
        return false;
    };
    FakeEndpoint first(behaviour);
    FakeEndpoint second(behaviour);
    fixture.setEndpoints({&first, &second});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/events/a", "r1"));
    std::string answer = caller.readUntil(lastChunk);
    CHECK(answer.ends_with(lastChunk));
    CHECK(answer.find("piece2") != std::string::npos);
    CHECK(answer.find("id: 2") == answer.rfind("id: 2"));
}

} // namespace
} // namespace ragwortwinch
