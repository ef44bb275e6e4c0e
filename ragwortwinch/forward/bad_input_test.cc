// Input from callers that is malformed, too large or too slow: a clear error, and nothing of it reaches an
// endpoint.
#include "testing/forward/forward_fixture.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::RawSocket;

struct BadInput {
    const char* what;
    std::string bytes;
    const char* status;
};

std::string head(const std::string& fields, const std::string& target = "/once/a")
{
    return "POST " + target + " HTTP/1.1\r\nHost: api\r\nId: r1\r\nKey: key\r\n" + fields + "\r\n";
}

TEST_CASE("malformed and oversized requests are refused, and the rest goes on")
{
    const std::vector<BadInput> inputs{
        {"length and chunks", head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
            "400"},
        {"two lengths", head("Content-Length: 3\r\nContent-Length: 5\r\n") + "abc", "400"},
        {"the same length twice", head("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc", "400"},
        {"an encoding that isn't chunks", head("Transfer-Encoding: gzip\r\n") + "abc", "400"},
        {"an encoding hidden by a second one", head("Transfer-Encoding: chunked, identity\r\n") + "abc",
            "400"},
        {"a negative length", head("Content-Length: -1\r\n"), "400"},
        {"no host", "POST /once/a HTTP/1.1\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n", "400"},
        {"two hosts", head("Host: other\r\nContent-Length: 0\r\n"), "400"},
        {"a target that is no path", head("Content-Length: 0\r\n", "http://api/once/a"), "400"},
        {"no request at all", "\x16\x03\x01 hello\r\n\r\n", "400"},
        {"a field without a name", head(": x\r\nContent-Length: 0\r\n"), "400"},
        {"a space before the colon", head("Content-Length : 3\r\n") + "abc", "400"},
        {"a long header", head("Other: " + std::string(5000, 'x') + "\r\nContent-Length: 0\r\n"), "431"},
        {"a long body", head("Content-Length: 10001\r\n"), "413"},
        {"a broken chunk", head("Transfer-Encoding: chunked\r\n") + "zz\r\nabc\r\n", "400"},
        {"no id", "POST /once/a HTTP/1.1\r\nHost: api\r\nKey: key\r\nContent-Length: 0\r\n\r\n", "400"},
    };
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    for (const BadInput& input : inputs) {
        CAPTURE(input.what);
        RawSocket caller = fixture.connect();
        caller.send(input.bytes);
        CHECK(caller.readMessage().starts_with("HTTP/1.1 " + std::string(input.status) + " "));
        CHECK(endpoint.requests().empty());
    }
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r2"));
    CHECK(caller.readMessage().ends_with("fine"));
}

TEST_CASE("a body that is cut short reaches no endpoint")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    {
        RawSocket caller = fixture.connect();
        caller.send(head("Transfer-Encoding: chunked\r\n") + "5\r\nab");
    }
    {
        RawSocket caller = fixture.connect();
        caller.send(head("Content-Length: 10\r\n") + "ab");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(endpoint.requests().empty());
}

TEST_CASE("a header that arrives too slowly ends with a timeout")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    RawSocket caller = fixture.connect();
    caller.send("POST /once/a HTTP/1.1\r\nHost: ");
    CHECK(caller.readMessage(2000).starts_with("HTTP/1.1 408 "));
}

TEST_CASE("requests that come together are answered one after the other")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "own " + testing::fieldOf(request, "Id")));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(
        ForwardFixture::request("/once/a", "r1", "one") + ForwardFixture::request("/once/b", "r2", "two"));
    CHECK(caller.readMessage().ends_with("own r1"));
    CHECK(caller.readMessage().ends_with("own r2"));
}

TEST_CASE("a chunked body reaches the endpoint whole")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(head("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(caller.readMessage().ends_with("fine"));
    CHECK(endpoint.requests()[0].ends_with("\r\n\r\nabcde"));
}

} // namespace
} // namespace ragwortwinch
