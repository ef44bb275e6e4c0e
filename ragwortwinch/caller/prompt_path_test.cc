// Requests with long prompts, served by prefill and decode engines.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

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

// Guards against 503 and a second prefill of a prompt whose KV cache is still there.
TEST_CASE("a KV cache is fetched by the next decode engine when full ones have refused the request")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint prefillEngine(answerPrefill);
    FakeEndpoint fullEngine(refuse);
    FakeEndpoint decodeEngine(streamToken);
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}, {&fullEngine, EngineRole::Decode},
        {&decodeEngine, EngineRole::Decode}});
    for (int number = 0; number < 6; ++number)
        CHECK(sendLongPrompt(fixture, number).find("data: token") != std::string::npos);
    CHECK(prefillEngine.requests().size() == 6);
    CHECK(fullEngine.requests().size() >= 1);
    std::vector<std::string> runs = decodeEngine.requests();
    CHECK(runs.size() == 6);
    CHECK(std::count_if(runs.begin(), runs.end(), usesTransferredCache) == 6);
    std::vector<std::string> refused = fullEngine.requests();
    CHECK(std::count_if(refused.begin(), refused.end(), usesTransferredCache)
        == static_cast<std::ptrdiff_t>(refused.size()));
}

// Guards against a request that only ever asks for a KV cache that no longer exists.
TEST_CASE("a prompt whose KV cache is gone is prefilled again")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::atomic<int> prefills{0};
    FakeEndpoint prefillEngine([&](RawSocket& socket, const std::string& request) {
        bool isRelease = request.starts_with("DELETE ");
        socket.send(answerTo(request, isRelease ? "" : "handle" + std::to_string(++prefills)));
        return true;
    });
    auto decode = [](RawSocket& socket, const std::string& request) {
        return fieldOf(request, "Cache").ends_with("/handle1") ? refuse(socket, request)
                                                               : streamToken(socket, request);
    };
    FakeEndpoint one(decode);
    FakeEndpoint two(decode);
    fixture.setEngines(
        {{&prefillEngine, EngineRole::Prefill}, {&one, EngineRole::Decode}, {&two, EngineRole::Decode}});
    CHECK(sendLongPrompt(fixture, 1).find("data: token") != std::string::npos);
    CHECK(prefills == 2);
    CHECK(one.requests().size() + two.requests().size() == 3);
}

TEST_CASE("a prompt whose KV cache no engine fetches is refused as not run, and the cache is released")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint prefillEngine(answerPrefill);
    FakeEndpoint one(refuse);
    FakeEndpoint two(refuse);
    FakeEndpoint three(refuse);
    fixture.setEngines({{&prefillEngine, EngineRole::Prefill}, {&one, EngineRole::Decode},
        {&two, EngineRole::Decode}, {&three, EngineRole::Decode}});
    CHECK(sendLongPrompt(fixture, 1).starts_with("HTTP/1.1 503 "));
    CHECK(one.requests().size() + two.requests().size() + three.requests().size() <= 8);
    CHECK(waitFor(
        [&] {
            std::vector<std::string> calls = prefillEngine.requests();
            return calls.size() == 4
                && std::count_if(calls.begin(), calls.end(),
                       [](const std::string& call) { return call.starts_with("DELETE "); })
                == 2;
        },
        1000));
}

// Guards against urgent streams that find no free slot behind less urgent prompts.
TEST_CASE("prompts leave an engine to urgent streams while the engines are nearly full")
{
    TrafficConfig config = ForwardFixture::sampleConfig();
    for (TrafficRoute& route : config.routes) {
        route.priority = route.name == "events" ? 0 : 3;
        route.timeout = Millis(8000);
    }
    ForwardFixture fixture;
    fixture.setConfig(config);
    std::atomic<bool> isReleased{false};
    auto behaviour = [&](RawSocket& socket, const std::string& request) {
        // Prompts hold their slots. Chats take some time, since those of 0 ms are no demand.
        if (request.starts_with("POST /prompt/"))
            waitFor([&] { return isReleased.load(); }, 5000);
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return streamToken(socket, request);
    };
    FakeEndpoint one(behaviour);
    FakeEndpoint two(behaviour);
    fixture.setEngines({{&one, EngineRole::Decode}, {&two, EngineRole::Decode}});
    auto countOf = [](const FakeEndpoint& endpoint, const std::string& path) {
        std::vector<std::string> requests = endpoint.requests();
        return std::count_if(requests.begin(), requests.end(),
            [&](const std::string& request) { return request.starts_with("POST " + path); });
    };
    auto sendChat = [&](int number) {
        RawSocket caller = fixture.connect();
        caller.send(ForwardFixture::request("/events/a", "c" + std::to_string(number)));
        CHECK(caller.readUntil("0\r\n\r\n").find("data: token") != std::string::npos);
    };
    std::vector<RawSocket> prompts;
    auto sendPrompts = [&](int count) {
        for (int number = 0; number < count; ++number) {
            prompts.push_back(fixture.connect());
            prompts.back().send(
                ForwardFixture::request("/prompt/a", "p" + std::to_string(prompts.size()), "prompt"));
            std::ptrdiff_t sent = static_cast<std::ptrdiff_t>(prompts.size());
            REQUIRE(
                waitFor([&] { return countOf(one, "/prompt/") + countOf(two, "/prompt/") == sent; }, 1000));
        }
    };
    for (int number = 0; number < 5; ++number)
        sendChat(number);
    // With room, prompts spread as ever.
    sendPrompts(12);
    CHECK(countOf(one, "/prompt/") == 6);
    // From 6 of 8 slots on, one engine gets no more of them.
    sendPrompts(4);
    CHECK(std::max(countOf(one, "/prompt/"), countOf(two, "/prompt/")) == 10);
    const FakeEndpoint& left = countOf(one, "/prompt/") == 6 ? one : two;
    std::ptrdiff_t before = countOf(left, "/events/");
    for (int number = 5; number < 8; ++number)
        sendChat(number);
    CHECK(countOf(left, "/events/") == before + 3);
    isReleased.store(true);
}

// Guards against streams at an engine that is known to be slow while another one has room.
TEST_CASE("streams prefer the engine that has generated tokens faster")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    auto streamTokens = [](RawSocket& socket, const std::string& request, int millisPerToken) {
        socket.send(
            "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int token = 1; token <= 8; ++token) {
            socket.send(chunkOf("id: " + std::to_string(token) + "\ndata: token\n\n"));
            std::this_thread::sleep_for(std::chrono::milliseconds(millisPerToken));
        }
        socket.send("0\r\n\r\n");
        return true;
    };
    FakeEndpoint slow(
        [&](RawSocket& socket, const std::string& request) { return streamTokens(socket, request, 60); });
    FakeEndpoint fast(
        [&](RawSocket& socket, const std::string& request) { return streamTokens(socket, request, 10); });
    fixture.setEngines({{&slow, EngineRole::Decode}, {&fast, EngineRole::Decode}});
    auto sendStreams = [&](int count) {
        for (int number = 0; number < count; ++number) {
            RawSocket caller = fixture.connect();
            caller.send(ForwardFixture::request("/events/a", "s" + std::to_string(number)));
            CHECK(caller.readUntil("0\r\n\r\n").find("data: token") != std::string::npos);
        }
    };
    sendStreams(4);
    std::size_t before = slow.requests().size();
    CHECK(before >= 1);
    CHECK(fast.requests().size() >= 1);
    sendStreams(8);
    CHECK(slow.requests().size() == before);
}

} // namespace
} // namespace ragwortwinch
