// Requests with long prompts, served by prefill and decode engines.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <algorithm>
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

bool refuse(RawSocket& socket, const std::string& request)
{
    socket.send(
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: " + fieldOf(request, "Id") + "\r\nContent-Length: 0\r\n\r\n");
    return true;
}

bool answerPrefill(RawSocket& socket, const std::string& request)
{
    socket.send(answerTo(request, "handle-" + fieldOf(request, "Id")));
    return true;
}

bool streamToken(RawSocket& socket, const std::string& request)
{
    socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunkOf("id: 1\ndata: token\n\n") + "0\r\n\r\n");
    return true;
}

// Sends one request with a long prompt and returns the whole reply.
std::string sendLongPrompt(ForwardFixture& fixture, int number)
{
    RawSocket caller = fixture.connect();
    caller.send(
        ForwardFixture::request("/prompt/a", "p" + std::to_string(number), "prompt", "Tokens: 3000\r\n"));
    std::string head = caller.readUntil("\r\n\r\n");
    return head + (head.starts_with("HTTP/1.1 200 ") ? caller.readUntil("0\r\n\r\n") : "");
}

bool usesTransferredCache(const std::string& request) { return !fieldOf(request, "Cache").empty(); }

TEST_CASE("a prompt is prefilled by one engine, and its KV cache is fetched by another")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint prefillEngine(answerPrefill);
    FakeEndpoint decodeEngine(streamToken);
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}, {&decodeEngine, EngineRole::Decode}});
    CHECK(sendLongPrompt(fixture, 1).find("data: token") != std::string::npos);
    REQUIRE(prefillEngine.requests().size() == 1);
    CHECK(fieldOf(prefillEngine.requests()[0], "Prefill") == "1");
    REQUIRE(decodeEngine.requests().size() == 1);
    CHECK(fieldOf(decodeEngine.requests()[0], "Cache").ends_with("/handle-p1"));
}

TEST_CASE("an engine that refuses prompts, as during a change of role, gets few of them; others prefill them")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint changingEngine(refuse);
    FakeEndpoint prefillEngine(answerPrefill);
    FakeEndpoint decodeEngine(streamToken);
    fixture.setEngines({{&changingEngine, EngineRole::Prefill}, {&prefillEngine, EngineRole::Prefill},
        {&decodeEngine, EngineRole::Decode}});
    int answered = 0;
    for (int number = 0; number < 40; ++number)
        answered += sendLongPrompt(fixture, number).starts_with("HTTP/1.1 200 ") ? 1 : 0;
    CHECK(answered == 40);
    // One for each backoff, which doubles from 100 ms.
    CHECK(changingEngine.requests().size() <= 4);
    std::vector<std::string> runs = decodeEngine.requests();
    CHECK(std::count_if(runs.begin(), runs.end(), usesTransferredCache) == 40);
}

TEST_CASE("an engine that no longer refuses prompts is used again")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<bool> isBusy{true};
    FakeEndpoint changingEngine([&](RawSocket& socket, const std::string& request) {
        return isBusy.load() ? refuse(socket, request) : answerPrefill(socket, request);
    });
    FakeEndpoint decodeEngine(streamToken);
    fixture.setEngines({{&changingEngine, EngineRole::Prefill}, {&decodeEngine, EngineRole::Decode}});
    // There is no other prefill engine, so the decode engine runs the whole request.
    CHECK(sendLongPrompt(fixture, 1).starts_with("HTTP/1.1 200 "));
    isBusy.store(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(sendLongPrompt(fixture, 2).starts_with("HTTP/1.1 200 "));
    CHECK(usesTransferredCache(decodeEngine.requests().back()));
}

// Replies with a body that goes on until the connection is closed, for 2 s at most.
bool answerWithoutEnd(RawSocket& socket, const std::string& request, std::atomic<bool>& wasClosed)
{
    socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n\r\n");
    for (int part = 0; part < 200 && !wasClosed; ++part) {
        socket.send(std::string(10000, 'x'));
        wasClosed = socket.waitForInput(10);
    }
    return false;
}

TEST_CASE("a reply to a prefill that has no end is given up, and the decode engine prefills the prompt")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<bool> wasClosed{false};
    FakeEndpoint prefillEngine([&](RawSocket& socket, const std::string& request) {
        return answerWithoutEnd(socket, request, wasClosed);
    });
    FakeEndpoint decodeEngine(streamToken);
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}, {&decodeEngine, EngineRole::Decode}});
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    CHECK(sendLongPrompt(fixture, 1).find("data: token") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(1000));
    CHECK(wasClosed);
}

TEST_CASE("a reply to the release of a KV cache that has no end is given up")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<bool> wasClosed{false};
    FakeEndpoint prefillEngine([&](RawSocket& socket, const std::string& request) {
        return request.starts_with("DELETE ") ? answerWithoutEnd(socket, request, wasClosed)
                                              : answerPrefill(socket, request);
    });
    // Nothing can fetch the cache.
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}});
    CHECK(sendLongPrompt(fixture, 1).starts_with("HTTP/1.1 503 "));
    CHECK(waitFor([&] { return wasClosed.load(); }, 1000));
}

} // namespace
} // namespace ragwortwinch
