// Requests that several endpoints refuse, or that reach none, before one takes them.
#include "testing/forward/forward_fixture.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;

// Guards against 503 for a request that has not run while another endpoint has room.
TEST_CASE("a request that may run once is answered after more refusals than attempts that may run it")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    auto refuse = [](RawSocket& socket, const std::string& request) {
        socket.send("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: " + fieldOf(request, "Id")
            + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    };
    FakeEndpoint free([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    FakeEndpoint one(refuse);
    FakeEndpoint two(refuse);
    FakeEndpoint three(refuse);
    FakeEndpoint four(refuse);
    // The last one to be chosen, as the search for the first request goes.
    fixture.setEndpoints({&one, &two, &three, &four, &free});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200 "));
    CHECK(free.requests().size() == 1);
    CHECK(one.requests().size() + two.requests().size() + three.requests().size() + four.requests().size()
        == 4);
}

TEST_CASE("a request that may run once is answered after more refused connections than attempts")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    auto answer = [](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    };
    FakeEndpoint free(answer);
    FakeEndpoint one(answer);
    FakeEndpoint two(answer);
    FakeEndpoint three(answer);
    FakeEndpoint four(answer);
    for (FakeEndpoint* closed : {&one, &two, &three, &four})
        closed->stopListening();
    // The last one to be chosen, as the search for the first request goes.
    fixture.setEndpoints({&one, &two, &three, &four, &free});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 200 "));
    CHECK(free.requests().size() == 1);
}

} // namespace
} // namespace ragwortwinch
