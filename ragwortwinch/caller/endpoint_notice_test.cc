// What an endpoint says of itself in its replies: that it is leaving, and that it wants no requests for a
// while.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <chrono>
#include <doctest/doctest.h>
#include <set>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::chunkOf;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;

std::string withField(std::string reply, const std::string& field)
{
    return reply.insert(reply.find("\r\n") + 2, field + "\r\n");
}

std::string refusalOf(const std::string& request, const std::string& fields)
{
    return "HTTP/1.1 503 Full\r\nId: " + fieldOf(request, "Id") + "\r\nNot-Run: 1\r\n" + fields
        + "Content-Length: 0\r\n\r\n";
}

std::string call(ForwardFixture& fixture, const std::string& path, const std::string& id)
{
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(path, id, "", "Tokens: 5000\r\nParts: a1 b1\r\n"));
    bool hasClosed = false;
    return caller.readToEnd(hasClosed, 150);
}

FakeEndpoint::Behaviour replyWith(std::function<std::string(const std::string& request)> reply)
{
    return [reply](RawSocket& socket, const std::string& request) {
        socket.send(reply(request));
        return true;
    };
}

TEST_CASE("an endpoint that says in any reply that it is leaving gets no new requests, and others serve them")
{
    const std::map<std::string, std::function<std::string(const std::string&)>> replies{
        {"whole", [](const std::string& request) { return answerTo(request, "fine"); }},
        {"error", [](const std::string& request) { return answerTo(request, "broken", 500); }},
        {"refusal", [](const std::string& request) { return refusalOf(request, ""); }},
        {"stale",
            [](const std::string& request) {
                return "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 1\r\n\r\nx"
                    + answerTo(request, "fine");
            }},
        {"stream",
            [](const std::string& request) {
                return "HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id")
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf("id: 1\ndata: x\n\n") + "0\r\n\r\n";
            }},
    };
    for (const auto& entry : replies) {
        const std::string& kind = entry.first;
        const std::function<std::string(const std::string&)>& reply = entry.second;
        CAPTURE(kind);
        FakeEndpoint leaving(
            replyWith([&](const std::string& request) { return withField(reply(request), "Leaving: 1"); }));
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        fixture.setEndpoints({&leaving});
        call(fixture, kind == "stream" ? "/single/a" : "/safe/a", "first");
        REQUIRE(leaving.requests().size() >= 1);
        std::size_t sends = leaving.requests().size();
        for (const char* path : {"/safe/a", "/once/a", "/events/a", "/prompt/a"})
            CHECK(call(fixture, path, "later").starts_with("HTTP/1.1 503 "));
        CHECK(leaving.requests().size() == sends);
        // A fresh list doesn't bring it back.
        FakeEndpoint staying(
            replyWith([](const std::string& request) { return answerTo(request, "stays"); }));
        fixture.setEndpoints({});
        fixture.setEndpoints({&leaving, &staying});
        for (int number = 0; number < 6; ++number)
            CHECK(call(fixture, "/safe/a", "more" + std::to_string(number)).ends_with("stays"));
        CHECK(leaving.requests().size() == sends);
    }
}

TEST_CASE("a prefill engine that says that it is leaving gets no new prompts")
{
    FakeEndpoint prefill(replyWith(
        [](const std::string& request) { return withField(answerTo(request, "handle"), "Leaving: 1"); }));
    FakeEndpoint decode(
        replyWith([](const std::string& request) { return answerTo(request, "id: 1\ndata: a\n\n"); }));
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    fixture.setEngines({{&prefill, EngineRole::Prefill}, {&decode, EngineRole::Decode}});
    call(fixture, "/prompt/a", "first");
    REQUIRE(prefill.requests().size() == 1);
    CHECK(call(fixture, "/prompt/a", "second").starts_with("HTTP/1.1 200 "));
    CHECK(prefill.requests().size() == 1);
}

TEST_CASE("an endpoint that names a pause in a refusal gets nothing until its end, and then serves again")
{
    std::atomic<bool> isResting{true};
    FakeEndpoint endpoint(replyWith([&](const std::string& request) {
        return isResting.load() ? refusalOf(request, "Retry-After: 0.8\r\n") : answerTo(request, "fine");
    }));
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    fixture.setEndpoints({&endpoint});
    CHECK(call(fixture, "/once/a", "first").starts_with("HTTP/1.1 503 "));
    std::size_t sends = endpoint.requests().size();
    isResting.store(false);
    std::string refusal = call(fixture, "/once/a", "second");
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    // The caller is told when the endpoint can be asked again.
    double retryAfter = std::atof(fieldOf(refusal, "Retry-After").c_str());
    CHECK(retryAfter > 0.3);
    CHECK(retryAfter <= 0.9);
    CHECK(endpoint.requests().size() == sends);
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    CHECK(call(fixture, "/once/a", "third").ends_with("fine"));
}

TEST_CASE("a pause is named only by refusals, and other values of the fields are ignored")
{
    for (const char* field :
        {"Leaving: 0", "Leaving: yes", "Retry-After: 5", "Retry-After: -5", "Retry-After: soon"}) {
        CAPTURE(field);
        FakeEndpoint endpoint(replyWith(
            [field](const std::string& request) { return withField(answerTo(request, "fine"), field); }));
        ForwardFixture fixture;
        fixture.setConfig(ForwardFixture::sampleConfig());
        fixture.setEndpoints({&endpoint});
        CHECK(call(fixture, "/safe/a", "first").ends_with("fine"));
        CHECK(call(fixture, "/safe/a", "second").ends_with("fine"));
    }
}

} // namespace
} // namespace ragwortwinch
