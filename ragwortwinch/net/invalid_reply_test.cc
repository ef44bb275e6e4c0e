// Replies that are no answers of their server, to calls of the libcurl client, which the store, the duties,
// calls to endpoints and the product's own mode use.
#include "ragwortwinch/net/http_client.h"
#include "testing/forward/fake_endpoint.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::FakeEndpoint;
using testing::RawSocket;

struct Called {
    HttpCallResult result;
    // What the callbacks of a streamed call got.
    int status = 0;
    std::string body;
};

// Calls a server that sends `reply` to the last of the requests on its connection, and a sound reply to the
// one before if the connection is a kept one.
Called callServer(const std::string& reply, bool isStreamed, bool isOnKeptConnection)
{
    std::atomic<int> soundReplies{isOnKeptConnection ? 1 : 0};
    FakeEndpoint server([&](RawSocket& socket, const std::string&) {
        if (soundReplies-- > 0) {
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }
        socket.send(reply);
        return false;
    });
    std::unique_ptr<HttpClient> client = makeCurlHttpClient();
    HttpCallBuilder call("GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/");
    call.totalTimeout(Millis(3000));
    if (isOnKeptConnection)
        REQUIRE(callAndWait(*client, HttpCallBuilder(call).build()).isOk());
    Called called;
    if (isStreamed)
        call.onHeaders([&](int status, const HttpHeaders&) { called.status = status; })
            .onData([&](std::string_view bytes) {
                called.body += bytes;
                return StreamFlow::Continue;
            });
    called.result = callAndWait(*client, call.build());
    CHECK(server.connections() == 1);
    return called;
}

// Checks that a call to a server that sends this ends as broken, and that nothing of it reaches the caller.
void checkIsBroken(const std::string& reply)
{
    for (bool isStreamed : {false, true}) {
        for (bool isOnKeptConnection : {false, true}) {
            CAPTURE(isStreamed);
            CAPTURE(isOnKeptConnection);
            Called called = callServer(reply, isStreamed, isOnKeptConnection);
            CHECK(called.result.end == CallEnd::Broken);
            CHECK_FALSE(called.result.isOk());
            CHECK(called.result.mayHaveBeenSent);
            CHECK(called.status == 0);
            CHECK(called.body.empty());
            CHECK(called.result.body.empty());
        }
    }
}

// Guards against a reply with a status such as 999, from a server in trouble, that counts as its answer.
TEST_CASE("a call whose reply has a status outside of 100 to 599 is broken")
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        CAPTURE(status);
        checkIsBroken("HTTP/1.1 " + status + " Answer\r\nContent-Length: 5\r\n\r\nwrong");
        checkIsBroken(
            "HTTP/1.1 " + status + " Answer\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
        checkIsBroken("HTTP/1.1 " + status + " Answer\r\n\r\nwrong");
        checkIsBroken(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Answer\r\nContent-Length: 5\r\n\r\nwrong");
    }
}

// A socket reports a reset once, to the write or to the read. libcurl ends a call at either.
TEST_CASE("a call is broken whose reply has no length and is reset while the request is written")
{
    const std::string upload(8 * 1024 * 1024, 'u');
    for (int delayMillis : {0, 1, 5, 20, 100}) {
        for (bool isReset : {false, true}) {
            CAPTURE(delayMillis);
            CAPTURE(isReset);
            FakeEndpoint server(
                [&](RawSocket& socket, const std::string&) {
                    socket.send("HTTP/1.1 200 OK\r\n\r\npart");
                    std::this_thread::sleep_for(std::chrono::milliseconds(delayMillis));
                    // Closing with unread input resets the connection as well.
                    if (isReset)
                        socket.reset();
                    return false;
                },
                FakeEndpoint::Reads::Heads);
            std::unique_ptr<HttpClient> client = makeCurlHttpClient();
            HttpCallBuilder call("POST", "http://127.0.0.1:" + std::to_string(server.port()) + "/");
            HttpCallResult result
                = callAndWait(*client, call.body(upload).totalTimeout(Millis(3000)).build());
            CHECK(result.end == CallEnd::Broken);
        }
    }
}

// Names of fields that are no tokens: with a blank, a control byte or another character that a name can't
// have.
const std::vector<std::string> invalidNames{"Content Length", "Content-Length ", "Content-Length\t",
    " X-Field", "X\x01-Field", "X-Field\x7f", "X\rField", "X-F\xc3\xa9", "X(Field)", "",
    "Transfer-Encoding "};

// Guards against a field whose name holds a blank or a control byte, of a server in trouble, that counts as a
// part of an answer, and against a body that such a field frames otherwise than its server means.
TEST_CASE("a call whose reply has a field with an invalid name is broken")
{
    for (const std::string& name : invalidNames) {
        CAPTURE(name);
        std::string field = name + ": 5\r\n";
        const std::string lengthHead = "HTTP/1.1 200 OK\r\nX-First: a\r\n";
        checkIsBroken(lengthHead + field + "Content-Length: 5\r\n\r\nwrong");
        checkIsBroken(lengthHead + "Content-Length: 5\r\n" + field + "\r\nwrong");
        checkIsBroken(lengthHead + field + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
        checkIsBroken(lengthHead + field + "\r\nwrong");
        checkIsBroken("HTTP/1.1 103 Early Hints\r\nX-First: a\r\n" + field + "\r\n" + lengthHead
            + "Content-Length: 5\r\n\r\nwrong");
    }
}

// The body has been handed on by then, but the call must not count as complete.
TEST_CASE("a call whose reply has a trailer field with an invalid name is broken")
{
    for (const std::string& name : invalidNames) {
        CAPTURE(name);
        for (bool isStreamed : {false, true}) {
            Called called
                = callServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n" + name
                        + ": 5\r\n\r\n",
                    isStreamed, /*isOnKeptConnection=*/false);
            CHECK(called.result.end == CallEnd::Broken);
        }
    }
}

// Guards against bytes of another protocol that count as an answer, and against a line inside a head that
// hides the fields before it.
TEST_CASE("a call whose reply has an invalid status line, or another one inside its head, is broken")
{
    for (const std::string line :
        {"HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/2 200 OK", "HTTP/2.0 200 OK", "ICY 200 OK",
            "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/1.1 2x0 OK"}) {
        CAPTURE(line);
        checkIsBroken(line + "\r\nContent-Length: 5\r\n\r\nwrong");
    }
    checkIsBroken("HTTP/1.1 200 OK\r\nX-Field: a\r\nHTTP/1.1 200 OK: b\r\nContent-Length: 5\r\n\r\nwrong");
    CHECK(callServer("HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nsound", false, false).result.body == "sound");
}

// Guards against a field behind the body that counts as one of the head, such as the store's era or "not
// run".
TEST_CASE("fields of a trailer are not among those of the reply")
{
    for (bool isStreamed : {false, true}) {
        Called called = callServer("HTTP/1.1 200 OK\r\nX-Field: head\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nsound\r\n0\r\nX-Late: trailer\r\n\r\n",
            isStreamed, /*isOnKeptConnection=*/false);
        CHECK(called.result.isOk());
        CHECK(called.result.headers.get("X-Field") == "head");
        CHECK(called.result.headers.get("X-Late").empty());
    }
}

// Guards against a body in a coding that nobody asked for, or with the marks of its chunks, that counts as
// the answer.
TEST_CASE("a call whose reply has a transfer coding other than chunked is broken")
{
    const std::string chunked = "5\r\nwrong\r\n0\r\n\r\n";
    for (const std::string coding :
        {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", "identity", ""}) {
        CAPTURE(coding);
        checkIsBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + chunked);
    }
    checkIsBroken(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n" + chunked);
    checkIsBroken(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked);
    checkIsBroken("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked);
}

// Guards against a body that ends elsewhere than its server means.
TEST_CASE("a call whose reply has lengths that contradict each other is broken")
{
    for (const std::string lengths :
        {"Content-Length: 5\r\nContent-Length: 2\r\n", "Content-Length: 5, 2\r\n", "Content-Length: 5x\r\n",
            "Content-Length: +5\r\n", "Content-Length: -5\r\n", "Content-Length:\r\n",
            "Content-Length: 5 5\r\n", "Content-Length: 99999999999999999999999\r\n"}) {
        CAPTURE(lengths);
        checkIsBroken("HTTP/1.1 200 OK\r\n" + lengths + "\r\nwrong");
    }
    const std::string chunked = "5\r\nwrong\r\n0\r\n\r\n";
    checkIsBroken("HTTP/1.1 200 OK\r\nContent-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked);
    checkIsBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n" + chunked);
}

// Guards against damaged heads that count as an answer.
TEST_CASE("a call whose reply has a control byte in a value or its reason is broken")
{
    for (const std::string& text : {std::string("a\x01"), std::string("a\0b", 3), std::string("a\rb"),
             std::string("a\x7f"), std::string("\x1b[0m")}) {
        CAPTURE(text);
        checkIsBroken("HTTP/1.1 200 OK\r\nX-Field: " + text + "\r\nContent-Length: 5\r\n\r\nwrong");
        checkIsBroken("HTTP/1.1 200 " + text + "\r\nContent-Length: 5\r\n\r\nwrong");
    }
    CHECK(
        callServer("HTTP/1.1 200 OK\r\nX-Field: a\tb\xc3\xa9\r\nContent-Length: 5\r\n\r\nsound", false, false)
            .result.body
        == "sound");
}

// Guards against a plain service's encoded body that reaches a caller without the name of its encoding.
TEST_CASE("a call whose reply has an encoded body is broken")
{
    for (const std::string encoding : {"gzip", "br", "identity, gzip", "x"}) {
        CAPTURE(encoding);
        checkIsBroken(
            "HTTP/1.1 200 OK\r\nContent-Encoding: " + encoding + "\r\nContent-Length: 5\r\n\r\nwrong");
    }
    CHECK(callServer(
              "HTTP/1.1 200 OK\r\nContent-Encoding: identity\r\nContent-Length: 5\r\n\r\nsound", false, false)
              .result.body
        == "sound");
}

TEST_CASE("a call whose reply comes behind interim ones is complete")
{
    Called called = callServer(
        "HTTP/1.1 102 Processing\r\nX-Field: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound",
        /*isStreamed=*/false, /*isOnKeptConnection=*/true);
    CHECK(called.result.isOk());
    CHECK(called.result.body == "sound");
    CHECK(called.result.headers.get("X-Field").empty());
}

} // namespace
} // namespace ragwortwinch
