// Compares the routing, queueing and retry policies with simple baselines in simulations under a virtual
// clock. Prints one key=value line for each run; the same seed gives the same figures.
//
//     build/bench/decisions [seed]
#include "ragwortwinch/admission/fair_queue.h"
#include "ragwortwinch/admission/retry_budget.h"
#include "ragwortwinch/routing/scoring_router.h"
#include "testing/protocol/virtual_time.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <set>

namespace ragwortwinch {
namespace {

using protocol::VirtualTime;

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(
        values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

Millis exponential(std::mt19937_64& random, double perSecond)
{
    return Millis(static_cast<std::int64_t>(std::exponential_distribution<>(perSecond)(random) * 1000) + 1);
}

// A simulated engine: prefills prompts one after the other, decodes all requests concurrently, caches
// prefixes.
struct SimulatedEngine {
    EndpointPointer state;
    Instant prefillUntil;
    std::set<std::uint64_t> cache;
    std::int64_t running = 0;
    std::int64_t kvBlocks = 0;
};

// Routes growing conversations over engines in three regions, from one node that sees delayed engine reports.
class RoutingSimulation {
public:
    RoutingSimulation(std::uint64_t seed, bool isScoring, double arrivalsPerSecond)
        : arrivalsPerSecond_(arrivalsPerSecond)
        , random_(seed)
        , prefixes_(65536)
        , isScoring_(isScoring)
    {
        if (isScoring)
            router_ = std::make_unique<ScoringRouter>(ScoringOptions{"zone-0", "region-0"}, prefixes_);
        else
            router_ = std::make_unique<LeastLoadedRouter>();
        for (int index = 0; index < engineCount; ++index) {
            EndpointRule rule;
            rule.name = fmt::format("engine-{}", index);
            rule.service = "model";
            rule.availabilityZone = fmt::format("zone-{}", index % 3);
            rule.region = fmt::format("region-{}", index % 3);
            engines_.push_back({std::make_shared<EndpointState>(rule), time_.now(), {}, 0, 0});
            candidates_.push_back(engines_.back().state);
        }
    }

    void run()
    {
        report();
        arrive();
        time_.runUntil(time_.now() + std::chrono::minutes(5));
        fmt::print("routing policy={} arrivals_per_second={} first_token_p50_ms={:.0f} "
                   "first_token_p95_ms={:.0f} first_token_p99_ms={:.0f} prefilled_share={:.2f} "
                   "cross_region_share={:.2f} placed={} refused={}\n",
            isScoring_ ? "scoring" : "least_loaded", arrivalsPerSecond_, percentile(firstTokenDelays_, 0.5),
            percentile(firstTokenDelays_, 0.95), percentile(firstTokenDelays_, 0.99),
            prefilledTokens_ / promptTokens_,
            static_cast<double>(crossRegion_) / static_cast<double>(firstTokenDelays_.size()),
            firstTokenDelays_.size(), refused_);
    }

private:
    static constexpr int engineCount = 9;
    static constexpr double prefillTokensPerSecond = 8000;
    static constexpr double decodeTokensPerSecond = 40;
    static constexpr std::int64_t outputTokens = 120;
    static constexpr int conversations = 300;

    void report()
    {
        for (SimulatedEngine& engine : engines_) {
            double queued
                = static_cast<double>(std::max<std::int64_t>(0, (engine.prefillUntil - time_.now()).count()))
                / 1000 * prefillTokensPerSecond;
            engine.state->setReport(time_.now(),
                {engine.running, engine.kvBlocks, 2000, static_cast<std::int64_t>(queued), false, "mixed",
                    1});
        }
        time_.after(Millis(500), [this] { report(); });
    }

    void arrive()
    {
        routeRequest();
        time_.after(exponential(random_, arrivalsPerSecond_), [this] { arrive(); });
    }

    void routeRequest()
    {
        std::uint64_t conversation = random_() % conversations;
        std::int64_t blocks = std::min<std::int64_t>(90, 10 + turns_[conversation]++ * 4);
        RouteQuery query;
        query.service = "model";
        query.promptTokens = blocks * prefixBlockTokens;
        query.outputTokens = outputTokens;
        for (std::int64_t block = 0; block < blocks; ++block)
            query.prefixes.push_back((conversation + 1) * 1000003 + static_cast<std::uint64_t>(block) * 7919);
        EndpointPointer chosen = router_->choose(query, candidates_, limits_, time_.now());
        if (!chosen) {
            ++refused_;
            return;
        }
        router_->onDispatched(query, *chosen);
        SimulatedEngine& engine = *std::find_if(engines_.begin(), engines_.end(),
            [&](const SimulatedEngine& other) { return other.state == chosen; });
        serve(engine, query);
    }

    void serve(SimulatedEngine& engine, const RouteQuery& query)
    {
        std::int64_t uncached = query.promptTokens;
        for (std::uint64_t prefix : query.prefixes) {
            if (!engine.cache.contains(prefix))
                break;
            uncached -= prefixBlockTokens;
        }
        engine.cache.insert(query.prefixes.begin(), query.prefixes.end());
        std::int64_t kvBlocks = query.kvBlocks(limits_.tokensPerKvBlock);
        auto reservation = std::make_shared<Reservation>(engine.state, kvBlocks);
        bool isCrossRegion = engine.state->rule().region != "region-0";
        engine.prefillUntil = std::max(engine.prefillUntil, time_.now())
            + Millis(
                static_cast<std::int64_t>(static_cast<double>(uncached) / prefillTokensPerSecond * 1000));
        // The network takes 24 ms to another region and 1 ms within the region.
        firstTokenDelays_.push_back(
            static_cast<double>((engine.prefillUntil - time_.now()).count()) + (isCrossRegion ? 24 : 1));
        crossRegion_ += isCrossRegion ? 1 : 0;
        promptTokens_ += static_cast<double>(query.promptTokens);
        prefilledTokens_ += static_cast<double>(uncached);
        ++engine.running;
        engine.kvBlocks += kvBlocks;
        Millis requestDuration = std::chrono::duration_cast<Millis>(engine.prefillUntil - time_.now())
            + Millis(static_cast<std::int64_t>(outputTokens / decodeTokensPerSecond * 1000));
        time_.after(requestDuration, [&engine, kvBlocks, reservation] {
            --engine.running;
            engine.kvBlocks -= kvBlocks;
            reservation->release();
        });
    }

    double arrivalsPerSecond_;
    VirtualTime time_;
    std::mt19937_64 random_;
    PrefixIndex prefixes_;
    bool isScoring_;
    std::unique_ptr<Router> router_;
    Limits limits_ = [] {
        Limits limits;
        limits.endpointStateBound = Millis(3000);
        return limits;
    }();
    std::vector<SimulatedEngine> engines_;
    std::vector<EndpointPointer> candidates_;
    std::map<std::uint64_t, std::int64_t> turns_;
    std::vector<double> firstTokenDelays_;
    std::int64_t crossRegion_ = 0;
    std::int64_t refused_ = 0;
    double promptTokens_ = 0;
    double prefilledTokens_ = 0;
};

// One greedy team and three modest teams share a service of 2,000 tokens per second. A request expires after
// 5 s in the queue, and a team can have 200 queued requests.
void runFairness(std::uint64_t seed, const char* name, RequestQueue& queue)
{
    VirtualTime time;
    std::mt19937_64 random(seed);
    std::map<std::string, int> sent;
    std::map<std::string, int> served;
    std::vector<double> modestWaitsMillis;
    std::map<std::uint64_t, Instant> arrivedAt;
    std::uint64_t nextId = 0;
    std::function<void(const std::string&, double)> arrive = [&](const std::string& team, double perSecond) {
        std::uint64_t id = ++nextId;
        ++sent[team];
        arrivedAt[id] = time.now();
        if (queue.sizeOf(team) < 200)
            queue.push({id, team, 1, 200, time.now() + Millis(5000)});
        time.after(exponential(random, perSecond), [&, team, perSecond] { arrive(team, perSecond); });
    };
    arrive("greedy", 40);
    for (const char* team : {"modest-1", "modest-2", "modest-3"})
        arrive(team, 1);
    std::function<void()> serve = [&] {
        queue.takeExpired(time.now());
        if (const QueuedRequest* next = queue.front([](const std::string&) { return true; })) {
            ++served[next->team];
            if (next->team != "greedy")
                modestWaitsMillis.push_back(static_cast<double>((time.now() - arrivedAt[next->id]).count()));
            queue.popFront();
        }
        time.after(Millis(100), serve);
    };
    serve();
    time.runUntil(time.now() + std::chrono::minutes(5));
    double worst = 1;
    int total = 0;
    for (const auto& team : sent) {
        // A team's fair share is what it sent, at most a quarter of the 3,000 requests served in 5 minutes.
        double fairShare = std::min<double>(team.second, 3000.0 / 4);
        worst = std::min(worst, served[team.first] / fairShare);
        total += served[team.first];
    }
    fmt::print("fairness policy={} worst_share_of_due={:.2f} modest_wait_p95_ms={:.0f} served={}\n", name,
        worst, percentile(modestWaitsMillis, 0.95), total);
}

// Nine endpoints that serve 20 requests per second each, under 150 per second in total. Three of them fail
// every call from 30 s to 60 s. `percent` is the retry budget; if negative, retries are unlimited up to
// `maxAttempts`.
void runRetries(std::uint64_t seed, const char* name, std::int64_t percent, int maxAttempts)
{
    VirtualTime time;
    std::mt19937_64 random(seed);
    RetryBudget budget(percent);
    constexpr int endpoints = 9;
    std::vector<Instant> busyUntil(endpoints, time.now());
    Instant start = time.now();
    auto elapsedSeconds = [&] { return static_cast<double>((time.now() - start).count()) / 1000; };
    struct Phase {
        // Requests, not counting their retries.
        int first = 0;
        int succeeded = 0;
        int acceptedAttempts = 0;
    };
    std::array<Phase, 3> phases;
    auto phaseAt = [&](double seconds) -> Phase& { return phases[seconds < 30 ? 0 : seconds < 60 ? 1 : 2]; };
    std::function<void(double, Instant, int)> attempt = [&](double arrivedAtSeconds, Instant deadline,
                                                            int number) {
        std::size_t endpoint = random() % endpoints;
        bool isDown = endpoint < 3 && elapsedSeconds() >= 30 && elapsedSeconds() < 60;
        auto retry = [&, arrivedAtSeconds, deadline, number] {
            if (number < maxAttempts && time.now() < deadline && (percent < 0 || budget.tryTake()))
                attempt(arrivedAtSeconds, deadline, number + 1);
        };
        if (isDown) {
            time.after(Millis(100), retry);
            return;
        }
        ++phaseAt(elapsedSeconds()).acceptedAttempts;
        // An endpoint completes every request it has accepted, also after the caller has given up. A caller
        // whose response would be late retries 200 ms before its deadline.
        busyUntil[endpoint] = std::max(busyUntil[endpoint], time.now()) + Millis(50);
        if (busyUntil[endpoint] <= deadline)
            time.after(std::chrono::duration_cast<Millis>(busyUntil[endpoint] - time.now()),
                [&, arrivedAtSeconds] { ++phaseAt(arrivedAtSeconds).succeeded; });
        else
            time.after(
                std::chrono::duration_cast<Millis>(std::max(time.now(), deadline - Millis(200)) - time.now()),
                retry);
    };
    std::function<void()> arrive = [&] {
        if (elapsedSeconds() >= 120)
            return;
        budget.onFirstTry();
        ++phaseAt(elapsedSeconds()).first;
        attempt(elapsedSeconds(), time.now() + Millis(1000), 1);
        time.after(exponential(random, 150), arrive);
    };
    arrive();
    time.runUntil(start + std::chrono::seconds(130));
    // load_on_rest_in_outage compares the attempts at the six remaining endpoints with their usual share.
    fmt::print("retries policy={} goodput_before={:.2f} goodput_outage={:.2f} goodput_after={:.2f} "
               "load_on_rest_in_outage={:.2f}\n",
        name, static_cast<double>(phases[0].succeeded) / phases[0].first,
        static_cast<double>(phases[1].succeeded) / phases[1].first,
        static_cast<double>(phases[2].succeeded) / phases[2].first,
        static_cast<double>(phases[1].acceptedAttempts) / (phases[1].first * 6.0 / 9));
}

} // namespace
} // namespace ragwortwinch

int main(int argc, char** argv)
{
    using namespace ragwortwinch;
    std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    fmt::print("decisions seed={}\n", seed);
    for (double arrivalsPerSecond : {10.0, 18.0, 25.0}) {
        RoutingSimulation(seed, true, arrivalsPerSecond).run();
        RoutingSimulation(seed, false, arrivalsPerSecond).run();
    }
    FairQueue fair;
    FifoQueue arrival;
    runFairness(seed, "fair", fair);
    runFairness(seed, "arrival", arrival);
    runRetries(seed, "budget_10_percent", 10, 3);
    runRetries(seed, "unlimited_3_attempts", -1, 3);
    runRetries(seed, "none", 0, 1);
    return 0;
}
