// Replies of endpoints with a status that promises callers "not run", but without the field that states it.
#include "testing/forward/forward_fixture.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::RawSocket;

// Returns the head of the answer to a request on `path` when the endpoint runs it and replies with `status`.
std::string answerThrough(const std::string& path, int status)
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([&](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "after the run", status));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(path, "r1"));
    return caller.readMessage(1900);
}

// Guards against callers that repeat a request because an endpoint that has run it answers like one that has
// not.
TEST_CASE("a status that promises not run isn't relayed for a request that must not run twice")
{
    for (const char* path : {"/once/a", "/single/a"}) {
        for (int status : {408, 429, 503}) {
            CAPTURE(path);
            CAPTURE(status);
            CHECK(answerThrough(path, status).starts_with("HTTP/1.1 502 "));
        }
    }
}

TEST_CASE("other failures of an endpoint, and those of requests that may run again, are relayed")
{
    for (int status : {400, 409, 500, 504}) {
        CAPTURE(status);
        CHECK(answerThrough("/once/a", status).starts_with("HTTP/1.1 " + std::to_string(status) + " "));
    }
    CHECK(answerThrough("/safe/a", 503).starts_with("HTTP/1.1 503 "));
}

} // namespace
} // namespace ragwortwinch
