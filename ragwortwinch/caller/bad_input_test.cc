// Malformed, oversized and slow requests get a clear error and don't reach an endpoint;
// pipelined and chunked ones are handled.
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

TEST_CASE("malformed and oversized requests are rejected, and later requests succeed")
{
    const std::vector<BadInput> inputs{
        {"Content-Length and chunked encoding",
            head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", "400"},
        {"two different Content-Length fields", head("Content-Length: 3\r\nContent-Length: 5\r\n") + "abc",
            "400"},
        {"the same Content-Length twice", head("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc", "400"},
        {"a Transfer-Encoding other than chunked", head("Transfer-Encoding: gzip\r\n") + "abc", "400"},
        {"chunked followed by a second encoding", head("Transfer-Encoding: chunked, identity\r\n") + "abc",
            "400"},
        {"a negative Content-Length", head("Content-Length: -1\r\n"), "400"},
        {"no Host", "POST /once/a HTTP/1.1\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n", "400"},
        {"two Host fields", head("Host: other\r\nContent-Length: 0\r\n"), "400"},
        {"a target that isn't a path", head("Content-Length: 0\r\n", "http://api/once/a"), "400"},
        {"not an HTTP request", "\x16\x03\x01 hello\r\n\r\n", "400"},
        {"an empty field name", head(": x\r\nContent-Length: 0\r\n"), "400"},
        {"a space before the colon", head("Content-Length : 3\r\n") + "abc", "400"},
        {"an oversized header", head("Other: " + std::string(5000, 'x') + "\r\nContent-Length: 0\r\n"),
            "431"},
        {"an oversized body", head("Content-Length: 10001\r\n"), "413"},
        {"an invalid chunk size", head("Transfer-Encoding: chunked\r\n") + "zz\r\nabc\r\n", "400"},
        {"no request id", "POST /once/a HTTP/1.1\r\nHost: api\r\nKey: key\r\nContent-Length: 0\r\n\r\n",
            "400"},
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

TEST_CASE("a request with a truncated body is not forwarded")
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

TEST_CASE("a header that arrives too slowly times out")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    RawSocket caller = fixture.connect();
    caller.send("POST /once/a HTTP/1.1\r\nHost: ");
    CHECK(caller.readMessage(2000).starts_with("HTTP/1.1 408 "));
}

TEST_CASE("pipelined requests are answered in order")
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

TEST_CASE("a chunked body is forwarded whole")
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
