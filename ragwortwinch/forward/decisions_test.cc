// Tests of the forwarding path's decisions that need no network.
#include "ragwortwinch/forward/event_stream.h"
#include "ragwortwinch/forward/request_log.h"
#include "ragwortwinch/placement/endpoint_chooser.h"
#include "ragwortwinch/placement/engine_chooser.h"
#include "ragwortwinch/placement/outcome_tracker.h"
#include "ragwortwinch/placement/windowed_retry_budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace ragwortwinch {
namespace {

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

UpstreamPointer endpoint(const std::string& id, const std::string& zone, EngineRole role = EngineRole::None)
{
    UpstreamPointer value = std::make_shared<UpstreamEndpoint>();
    value->record.id = id;
    value->record.availabilityZone = zone;
    value->record.slots = 8;
    value->record.role = role;
    value->region = "region-" + zone;
    return value;
}

PlacementQuery query(const std::string& zone)
{
    PlacementQuery value;
    value.availabilityZone = zone;
    value.region = "region-" + zone;
    return value;
}

TEST_CASE("retries are limited to the ratio plus the slack in any window")
{
    WindowedRetryBudget budget({0.2, Millis(10000), 6});
    for (int index = 0; index < 100; ++index)
        budget.onRequest(at(index));
    int taken = 0;
    while (budget.tryTake(at(200)))
        ++taken;
    CHECK(taken > 20);
    CHECK(taken <= 26);
    CHECK_FALSE(budget.tryTake(at(9000)));
    int later = 0;
    while (budget.tryTake(at(10300)))
        ++later;
    CHECK(later >= 5);
    CHECK(later <= 6);
}

TEST_CASE("a smaller slack leaves what requests earn, also after more than it has been taken")
{
    WindowedRetryBudget budget({0.2, Millis(10000), 20});
    for (int retry = 0; retry < 17; ++retry)
        CHECK(budget.tryTake(at(0)));
    budget.setOptions({0.2, Millis(10000), 2});
    CHECK_FALSE(budget.tryTake(at(2000)));
    for (int index = 0; index < 100; ++index)
        budget.onRequest(at(2000));
    CHECK(budget.available(at(2000)) == 17);
    CHECK(budget.tryTake(at(2000)));
}

// Returns by how much retries exceed the operators' rule at worst. The rule: in any window, retries are at
// most the slack plus the ratio of the requests in that window, or in the one that starts a whole or half a
// window earlier.
int worstExcess(const std::vector<int>& requests, const std::vector<int>& retries, double ratio, double slack)
{
    constexpr int stepsInWindow = 100;
    auto sum = [](const std::vector<int>& counts, int from) {
        int total = 0;
        for (int step = std::max(0, from); step < from + stepsInWindow; ++step)
            total += step < static_cast<int>(counts.size()) ? counts[static_cast<std::size_t>(step)] : 0;
        return total;
    };
    int worst = -1000000;
    for (int start = 0; start + stepsInWindow <= static_cast<int>(requests.size()); ++start) {
        int most = std::max({sum(requests, start), sum(requests, start - stepsInWindow),
            sum(requests, start - stepsInWindow / 2)});
        int allowed = static_cast<int>(ratio * most + slack);
        worst = std::max(worst, sum(retries, start) - allowed);
    }
    return worst;
}

TEST_CASE("retries keep to the operators' rule in every window under random bursts")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        WindowedRetryBudget budget({0.2, Millis(10000), 6});
        std::vector<int> requests;
        std::vector<int> retries;
        int rate = 5;
        bool isOutage = false;
        // Steps of 100 ms for a minute; during an outage each request asks for two retries.
        for (int step = 0; step < 600; ++step) {
            if (step % 28 == 0)
                rate = static_cast<int>(random() % 40);
            if (step % 45 == 0)
                isOutage = random() % 2 == 0;
            int taken = 0;
            for (int request = 0; request < rate; ++request) {
                budget.onRequest(at(step * 100));
                if (!isOutage)
                    continue;
                taken += budget.tryTake(at(step * 100)) ? 1 : 0;
                taken += budget.tryTake(at(step * 100)) ? 1 : 0;
            }
            requests.push_back(rate);
            retries.push_back(taken);
        }
        CHECK(worstExcess(requests, retries, 0.2, 6) <= 0);
    }
}

TEST_CASE("events are returned whole and once, however their bytes are split")
{
    EventStream stream;
    std::string input = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 2\ndata: again\n\n: note\n\nid: 3\nda";
    std::string output;
    for (char byte : input)
        output += stream.append(std::string(1, byte));
    CHECK(output == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\n");
    CHECK(stream.lastId() == "2");
    CHECK(stream.droppedEvents() == 1);
    CHECK(stream.rest() == "id: 3\nda");
    stream.restart();
    CHECK(stream.append("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

TEST_CASE("consecutive failures make an endpoint suspect, and successful probes clear it")
{
    OutcomeTracker tracker;
    tracker.onFailure(at(0));
    tracker.onFailure(at(1));
    CHECK_FALSE(tracker.isSuspect());
    tracker.onFailure(at(2));
    CHECK(tracker.isAwaitingProbe(at(3)));
    CHECK_FALSE(tracker.tryTakeProbe(at(100)));
    CHECK(tracker.tryTakeProbe(at(600)));
    CHECK_FALSE(tracker.tryTakeProbe(at(601)));
    tracker.onSuccess(at(650));
    tracker.onSuccess(at(700));
    CHECK_FALSE(tracker.isSuspect());
}

TEST_CASE("an endpoint that fails most of its requests becomes suspect despite successes in between")
{
    OutcomeTracker tracker;
    int untilSuspect = 0;
    for (; untilSuspect < 100 && !tracker.isSuspect(); ++untilSuspect) {
        if (untilSuspect % 5 < 3)
            tracker.onFailure(at(untilSuspect * 10));
        else
            tracker.onSuccess(at(untilSuspect * 10));
    }
    CHECK(untilSuspect <= 30);
}

TEST_CASE("suspect endpoints are used only for probes or when there is no other endpoint")
{
    UpstreamPointer bad = endpoint("bad", "z");
    UpstreamPointer good = endpoint("good", "z");
    bad->outcomes.onUnreachable(at(0));
    AffinityChooser chooser;
    for (int index = 0; index < 20; ++index)
        CHECK(chooser.choose(query("z"), {bad, good}, at(10)) == good);
    CHECK(chooser.choose(query("z"), {bad}, at(10)) == bad);
    PlacementQuery probe = query("z");
    probe.mayProbe = true;
    CHECK(chooser.choose(probe, {bad, good}, at(600)) == bad);
    CHECK(chooser.choose(probe, {bad, good}, at(601)) == good);
}

TEST_CASE("nearby endpoints are preferred until they are full")
{
    UpstreamPointer near = endpoint("near", "z1");
    UpstreamPointer far = endpoint("far", "z2");
    AffinityChooser chooser;
    CHECK(chooser.choose(query("z1"), {near, far}, at(0)) == near);
    near->running = 8;
    CHECK(chooser.choose(query("z1"), {near, far}, at(0)) == far);
    CHECK(LeastLoadedChooser().choose(query("z1"), {near, far}, at(0)) == far);
    CHECK(chooser.choose(query("z1"), {}, at(0)) == nullptr);
}

TEST_CASE("long replies spill over early, and KV transfers stay in their zone")
{
    UpstreamPointer near = endpoint("near", "z1", EngineRole::Decode);
    UpstreamPointer far = endpoint("far", "z2", EngineRole::Decode);
    near->running = 5;
    PlacementQuery longReply = query("z1");
    longReply.spillOccupancy = longReplySpillOccupancy;
    CHECK(AffinityChooser().choose(longReply, {near, far}, at(0)) == far);
    near->running = 20;
    PlacementQuery kvTransfer = query("z1");
    kvTransfer.spillOccupancy = neverSpill;
    CHECK(AffinityChooser().choose(kvTransfer, {near, far}, at(0)) == near);
}

TEST_CASE("prompts that share a part go to one engine until its queue is much longer than the others'")
{
    std::vector<UpstreamPointer> engines;
    for (const char* id : {"a", "b", "c"})
        engines.push_back(endpoint(id, "z", EngineRole::Prefill));
    PlacementQuery shared = query("z");
    shared.affinity = 77;
    std::vector<PromptPart> parts{{70, 2500}, {77, 3800}, {1, 2900}};
    PromptQuery prompt{parts, 9200, Millis(200), Millis(1000)};
    std::set<UpstreamPointer> used;
    for (int index = 0; index < 10; ++index)
        used.insert(EngineChooser().choose(shared, prompt, engines, at(0))->engine);
    REQUIRE(used.size() == 1);
    UpstreamPointer affinityEngine = *used.begin();
    CHECK(EngineChooser().choose(shared, prompt, engines, at(0))->tokensToPrefill == 2900);
    affinityEngine->engineLoad.onSent(200000, PromptPriority::OnTime, 1, at(0));
    std::optional<EngineChoice> other = EngineChooser().choose(shared, prompt, engines, at(0));
    CHECK(other->engine != affinityEngine);
    CHECK(other->tokensToPrefill == 9200);
}

TEST_CASE("the estimate grows with an engine's queue, and its slowness is learnt")
{
    UpstreamPointer engine = endpoint("a", "z", EngineRole::Prefill);
    std::vector<PromptPart> parts{{1, 3000}};
    PromptQuery prompt{parts, 3000, Millis(2000), Millis(2000)};
    Millis idle = EngineChooser().choose(query("z"), prompt, {engine}, at(0))->timeToFirstToken;
    PendingPrompt pendingPrompt = engine->engineLoad.onSent(100000, PromptPriority::OnTime, 1, at(0));
    Millis busy = EngineChooser().choose(query("z"), prompt, {engine}, at(0))->timeToFirstToken;
    CHECK(busy > idle + Millis(200));
    double before = engine->engineLoad.slowness();
    engine->engineLoad.onPrefilled(pendingPrompt, at(1000));
    CHECK(engine->engineLoad.slowness() > before);
    CHECK(engine->engineLoad.pendingTokens(PromptPriority::Late) == 0);
}

// Simulates random arrivals of 9,000-token prompts at an engine that prefills one after the other, 200 tokens
// per millisecond. For two thirds of the prompts, the engine has the shared 6,000 tokens cached, which this
// VM doesn't know. Prompts queued by other VMs are known with a delay of 200 ms. Returns the sums of the
// estimated and the actual times until prefilled.
std::pair<double, double> simulateEstimates(double load, unsigned seed)
{
    constexpr double trueSpeed = 200;
    constexpr int tokens = 9000;
    constexpr int sharedTokens = 6000;
    constexpr int meanToPrefill = 5000;
    constexpr int vms = 6;
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(load * trueSpeed / meanToPrefill);
    EngineLoad engine;
    // A prompt of any VM; times in milliseconds.
    struct Sent {
        double sentAt;
        double prefilledAt;
        bool isOwn;
    };
    std::vector<Sent> all;
    std::multimap<double, PendingPrompt> inFlight;
    double now = 0;
    double idleAt = 0;
    double estimates = 0;
    double actuals = 0;
    while (all.size() < 6000) {
        now += gap(random);
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            engine.onPrefilled(inFlight.begin()->second, at(static_cast<int>(inFlight.begin()->first)));
            inFlight.erase(inFlight.begin());
        }
        double knownAt = now - 200;
        std::int64_t peerTokens = 0;
        for (auto sent = all.rbegin(); sent != all.rend() && sent->sentAt > knownAt - 3000; ++sent)
            peerTokens += !sent->isOwn && sent->sentAt <= knownAt && sent->prefilledAt > knownAt ? tokens : 0;
        engine.setPeerTokens({peerTokens, 0});
        int toPrefill = random() % 3 < 2 ? tokens - sharedTokens : tokens;
        idleAt = std::max(idleAt, now) + toPrefill / trueSpeed;
        double prefilledAt = idleAt + 10;
        bool isOwn = random() % vms == 0;
        all.push_back({now, prefilledAt, isOwn});
        if (!isOwn)
            continue;
        if (all.size() > 1000) {
            estimates += engine.prefillMillis(PromptPriority::OnTime, tokens, 1);
            actuals += prefilledAt - now;
        }
        inFlight.emplace(
            prefilledAt, engine.onSent(tokens, PromptPriority::OnTime, 1, at(static_cast<int>(now))));
    }
    return {estimates, actuals};
}

TEST_CASE(
    "estimates are right on average, although other VMs' prompts and the engine's cache aren't known exactly")
{
    for (double load : {0.3, 0.6, 0.85}) {
        CAPTURE(load);
        double estimates = 0;
        double actuals = 0;
        for (unsigned seed = 1; seed <= 5; ++seed) {
            std::pair<double, double> sums = simulateEstimates(load, seed);
            estimates += sums.first;
            actuals += sums.second;
        }
        // An error of a quarter is fine: prompts are on time within 200 ms and refused only at 1,200 ms (with
        // a timeout of 2 s, by `lateTimeFraction`).
        CHECK(estimates > actuals * 0.75);
        CHECK(estimates < actuals * 1.25);
    }
}

TEST_CASE("a prompt that is cancelled late counts for the slowness, one that is refused at once doesn't")
{
    EngineLoad engine;
    engine.onDropped(engine.onSent(3000, PromptPriority::OnTime, 1, at(0)), at(5));
    CHECK(engine.slowness() == doctest::Approx(1));
    engine.onDropped(engine.onSent(3000, PromptPriority::OnTime, 1, at(0)), at(1500));
    CHECK(engine.slowness() > 1.1);
    engine.restart(EngineLoad::decodeSlowness);
    CHECK(engine.slowness() == doctest::Approx(2));
}

TEST_CASE("under growing load, prompts are on time, then late, then refused")
{
    UpstreamPointer engine = endpoint("a", "z", EngineRole::Prefill);
    std::vector<PromptPart> parts{{1, 3000}};
    PromptQuery prompt{parts, 3000, Millis(200), Millis(1000)};
    int onTime = 0;
    int late = 0;
    for (int index = 0; index < 1000; ++index) {
        std::optional<EngineChoice> choice = EngineChooser().choose(query("z"), prompt, {engine}, at(0));
        if (!choice)
            break;
        ++(choice->priority == PromptPriority::OnTime ? onTime : late);
        engine->engineLoad.onSent(choice->tokensToPrefill, choice->priority, 1, at(0));
    }
    CHECK(onTime > 10);
    CHECK(late > onTime);
    CHECK(onTime + late < 200);
    // OnTime prompts don't wait for Late ones.
    EngineLoad load;
    load.onSent(100000, PromptPriority::Late, 1, at(0));
    CHECK(load.queueMillis(PromptPriority::OnTime) == 0);
    CHECK(load.queueMillis(PromptPriority::Late) > 100);
}

TEST_CASE("decode engines prefill only when prefill engines can't do so in time")
{
    UpstreamPointer prefillEngine = endpoint("a", "z", EngineRole::Prefill);
    UpstreamPointer decodeEngine = endpoint("b", "z", EngineRole::Decode);
    std::vector<PromptPart> parts{{1, 3000}};
    PromptQuery prompt{parts, 3000, Millis(200), Millis(1000)};
    prefillEngine->engineLoad.onSent(30000, PromptPriority::OnTime, 1, at(0));
    CHECK(EngineChooser().choose(query("z"), prompt, {prefillEngine, decodeEngine}, at(0))->engine
        == prefillEngine);
    prefillEngine->engineLoad.onSent(60000, PromptPriority::OnTime, 1, at(0));
    CHECK(EngineChooser().choose(query("z"), prompt, {prefillEngine, decodeEngine}, at(0))->engine
        == decodeEngine);
    CHECK(EngineChooser().choose(query("z"), prompt, {decodeEngine}, at(0))->engine == decodeEngine);
}

TEST_CASE("the cache model evicts the least recently used parts beyond its capacity")
{
    PromptCacheModel promptCache;
    promptCache.setCapacity(1000);
    promptCache.onPrefilled({{1, 400}, {2, 400}});
    CHECK(promptCache.cachedTokens({{1, 400}, {2, 400}, {3, 100}}) == 800);
    promptCache.onPrefilled({{3, 400}});
    CHECK(promptCache.cachedTokens({{1, 400}}) == 0);
    CHECK(promptCache.cachedTokens({{2, 400}}) == 400);
}

TEST_CASE("failure logs are limited per second")
{
    RequestLog log;
    int taken = 0;
    for (int index = 0; index < 5000; ++index)
        taken += log.shouldLogFailure(at(0)) ? 1 : 0;
    CHECK(taken == RequestLog::maxLinesPerSecond);
    CHECK(log.shouldLogFailure(at(1001)));
}

} // namespace
} // namespace ragwortwinch
