#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/routing/endpoint_table.h"
#include "ragwortwinch/routing/scoring_router.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

EndpointPointer makeEngine(
    const std::string& name, const std::string& zone = "a", const std::string& region = "north")
{
    EndpointRule rule;
    rule.name = name;
    rule.service = "model";
    rule.availabilityZone = zone;
    rule.region = region;
    EndpointPointer endpoint = std::make_shared<EndpointState>(rule);
    endpoint->setReport(Instant(Millis(1000)), {0, 0, 2000, 0, false, "mixed", 1});
    return endpoint;
}

RouteQuery queryOf(std::int64_t prompt, std::int64_t output)
{
    RouteQuery query;
    query.service = "model";
    query.promptTokens = prompt;
    query.outputTokens = output;
    return query;
}

const Instant now(Millis(1000));

TEST_CASE("a request is never placed where its KV blocks don't fit")
{
    EndpointPointer engine = makeEngine("e1");
    Limits limits;
    RouteQuery half = queryOf(16000, 0);
    std::vector<Reservation> held;
    LeastLoadedRouter router;
    while (EndpointPointer chosen = router.choose(half, {engine}, limits, now))
        held.emplace_back(chosen, half.kvBlocks(limits.tokensPerKvBlock));
    CHECK(held.size() == 2);
    held.pop_back();
    CHECK(router.choose(half, {engine}, limits, now));
    engine->setPeerLoad(1, 1500);
    CHECK_FALSE(router.choose(half, {engine}, limits, now));
}

TEST_CASE("an endpoint that is leaving, or whose report is too old, gets no new work")
{
    EndpointPointer engine = makeEngine("e1");
    Limits limits;
    CHECK(hasCapacity(*engine, queryOf(10, 10), limits, now));
    CHECK_FALSE(hasCapacity(*engine, queryOf(10, 10), limits, now + limits.endpointStateBound + Millis(1)));
    engine->setLeaving(1);
    CHECK_FALSE(hasCapacity(*engine, queryOf(10, 10), limits, now));
    engine->setReport(now, {0, 0, 2000, 0, false, "mixed", 1});
    CHECK(engine->isLeaving());
    {
        ScopedDisable off(Mechanism::StickyLeaving);
        engine->setReport(now, {0, 0, 2000, 0, false, "mixed", 1});
        CHECK_FALSE(engine->isLeaving());
    }
    engine->setLeaving(1);
    engine->setReport(now, {0, 0, 2000, 0, false, "mixed", 2});
    CHECK_FALSE(engine->isLeaving());
    engine->setLeaving(1);
    CHECK_FALSE(engine->isLeaving());
}

TEST_CASE(
    "an endpoint with a cached prefix is preferred, unless its queue takes longer than the prefill saved")
{
    PrefixIndex prefixes(1000);
    ScoringRouter router({"a", "north"}, prefixes);
    EndpointPointer warm = makeEngine("warm");
    EndpointPointer cold = makeEngine("cold");
    RouteQuery query = queryOf(6400, 10);
    query.prefixes = hashPrefixes(std::string(6400 * 4, 'x'), 256, 100);
    router.onDispatched(query, *warm);
    // Until the next report the dispatched prompt counts as queued prefill, which cancels the cache hit.
    CHECK(router.score(query, *warm, now) >= router.score(query, *cold, now));
    warm->setReport(now, {1, 0, 2000, 0, false, "mixed", 1});
    CHECK(router.choose(query, {cold, warm}, Limits(), now) == warm);
    warm->setReport(now, {0, 0, 2000, 12000, false, "mixed", 1});
    CHECK(router.choose(query, {cold, warm}, Limits(), now) == cold);
}

TEST_CASE("a local endpoint is preferred unless a remote one saves more time than the network adds")
{
    PrefixIndex prefixes(1000);
    ScoringRouter router({"a", "north"}, prefixes);
    EndpointPointer near = makeEngine("near");
    EndpointPointer far = makeEngine("far", "z", "south");
    CHECK(router.choose(queryOf(100, 100), {far, near}, Limits(), now) == near);
    near->setReport(now, {0, 0, 2000, 8000, false, "mixed", 1});
    CHECK(router.choose(queryOf(100, 100), {far, near}, Limits(), now) == far);
}

TEST_CASE("the prefix index is bounded, and drops all entries of an endpoint whose events were missed")
{
    PrefixIndex prefixes(10);
    prefixes.add("e1", {1, 2, 3, 4});
    prefixes.add("e2", {1, 2, 3, 4, 5, 6, 7, 8});
    CHECK(prefixes.size() == 10);
    CHECK(prefixes.match("e1", {1, 2, 3, 4}) == 0);
    CHECK(prefixes.match("e2", {1, 2, 9}) == 2);
    prefixes.remove("e2", {2});
    CHECK(prefixes.match("e2", {1, 2, 3}) == 1);
    prefixes.removeEndpoint("e2");
    CHECK(prefixes.match("e2", {1}) == 0);
}

TEST_CASE("an update keeps the state of unchanged endpoints")
{
    EndpointTable table;
    Rules rules;
    rules.endpoints.push_back(makeEngine("e1")->rule());
    table.update(rules);
    EndpointPointer before = table.find("e1");
    rules.endpoints.push_back(makeEngine("e2")->rule());
    table.update(rules);
    CHECK(table.find("e1") == before);
    CHECK(table.ofService("model").size() == 2);
    rules.endpoints[0].address.port = 99;
    table.update(rules);
    CHECK(table.find("e1") != before);
}

} // namespace
} // namespace ragwortwinch
