// Requests of teams with a limit, through a real server.
#include "testing/forward/forward_fixture.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;

bool answerOk(RawSocket& socket, const std::string& request)
{
    socket.send(answerTo(request, "fine"));
    return true;
}

// A refusal as not run.
bool refuse(RawSocket& socket, const std::string& request)
{
    socket.send(
        "HTTP/1.1 503 Busy\r\nId: " + fieldOf(request, "Id") + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
}

// Sets the limit of the team as a node does, for one VM that has run for longer than a window.
void setLimit(ForwardFixture& fixture, const TeamLimit& limit)
{
    TrafficConfig config = ForwardFixture::sampleConfig();
    config.teams[0].limit = limit;
    Instant now = SystemClock().now();
    fixture.server().allowance().locked()->setTeams({{config.teams[0].name, limit}}, now);
    fixture.server().allowance().locked()->setVmCount(1, now);
    fixture.setConfig(std::move(config));
}

std::string call(
    ForwardFixture& fixture, const std::string& path, const std::string& id, const std::string& extra = "")
{
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request(path, id, "", extra));
    return caller.readMessage();
}

// An allowance that begins empty gets its first request's worth from the refill.
TeamLimit slowLimit() { return {1, 1, LimitUnit::Requests, 0}; }

TEST_CASE("a request over its team's limit gets 429 with Retry-After and reaches no endpoint")
{
    ForwardFixture fixture;
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    setLimit(fixture, slowLimit());
    std::string refusal = call(fixture, "/once/a", "r1");
    CHECK(refusal.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
    CHECK(fieldOf(refusal, "Id") == "r1");
    double retryAfter = std::atof(fieldOf(refusal, "Retry-After").c_str());
    CHECK(retryAfter > 0);
    CHECK(retryAfter <= 1);
    CHECK(refusal.find("over_limit") != std::string::npos);
    CHECK(endpoint.requests().empty());
    // Open routes have no team.
    CHECK(call(fixture, "/open/a", "r2").starts_with("HTTP/1.1 200 "));

    std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(retryAfter * 1000) + 20));
    CHECK(call(fixture, "/once/a", "r3").starts_with("HTTP/1.1 200 "));
    AllowanceTotals totals = fixture.server().allowance().locked()->totals();
    CHECK(totals.admittedRequests == 1);
    CHECK(totals.refusedRequests == 1);
}

TEST_CASE("requests are charged by their token counts, and by the limit's cost without them")
{
    ForwardFixture fixture;
    FakeEndpoint endpoint(answerOk);
    fixture.setEndpoints({&endpoint});
    setLimit(fixture, {1e6, 1e6, LimitUnit::Tokens, 70});
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(call(fixture, "/once/a", "r1", "Tokens: 400\r\n").starts_with("HTTP/1.1 200 "));
    CHECK(call(fixture, "/once/a", "r2").starts_with("HTTP/1.1 200 "));
    CHECK(fixture.server().allowance().locked()->totals().admittedCost == 470);
    // More than the limit ever allows: a retry makes no sense.
    std::string refusal = call(fixture, "/once/a", "r3", "Tokens: 9000000\r\n");
    CHECK(refusal.starts_with("HTTP/1.1 429 "));
    CHECK(fieldOf(refusal, "Retry-After").empty());
}

// Guards against teams that pay for requests which the endpoints refused, and for each further endpoint.
TEST_CASE("a request that was not run is refunded, and one that is sent twice is charged once")
{
    ForwardFixture fixture;
    FakeEndpoint refusing(refuse);
    fixture.setEndpoints({&refusing});
    setLimit(fixture, {100, 100, LimitUnit::Requests, 0});
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(call(fixture, "/safe/a", "r1").starts_with("HTTP/1.1 503 "));
    AllowanceTotals totals = fixture.server().allowance().locked()->totals();
    CHECK(totals.admittedCost == 1);
    CHECK(totals.refundedCost == 1);

    FakeEndpoint serving(answerOk);
    fixture.setEndpoints({&refusing, &serving});
    for (int number = 2; number < 6; ++number)
        CHECK(call(fixture, "/safe/a", "r" + std::to_string(number)).starts_with("HTTP/1.1 200 "));
    totals = fixture.server().allowance().locked()->totals();
    CHECK(totals.admittedCost == 5);
    CHECK(totals.refundedCost == 1);
}

} // namespace
} // namespace ragwortwinch
