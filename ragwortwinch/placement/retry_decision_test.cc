// Retries of requests that full engines refuse.
#include "ragwortwinch/placement/retry_decision.h"

#include "ragwortwinch/placement/windowed_retry_budget.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

struct BurstResult {
    int requests = 0;
    int onTime = 0;
    int retries = 0;
    int allRequests = 0;
};

// Plays one minute of 60 requests a second at one VM. In 200 ms of every 2 s, half of the engines are full
// and refuse what they get, 4 ms after it was sent (a round trip within the region and the engine's
// decision). Returns what became of the requests in these bursts, with a target of 150 ms.
BurstResult playBursts(bool countsRefusals, unsigned seed)
{
    constexpr int refusalMillis = 4;
    constexpr int targetMillis = 150;
    std::mt19937 random(seed);
    std::bernoulli_distribution isFull(0.5);
    WindowedRetryBudget budget({0.2, Millis(10000), 30});
    BurstResult result;
    for (int millis = 0; millis < 60000; millis += 17) {
        bool isBurst = millis % 2000 < 200;
        budget.onRequest(at(millis));
        ++result.allRequests;
        if (!isBurst)
            continue;
        ++result.requests;
        RetryState state;
        state.maxAttempts = 3;
        state.maxAttemptsNotRun = countsRefusals ? 3 : 8;
        int taken = 0;
        bool isAnswered = false;
        do {
            isAnswered = !isFull(random);
            if (isAnswered)
                break;
            ++state.attemptsNotRun;
            taken += refusalMillis;
            if (!mayRetry(state) || !budget.tryTake(at(millis)))
                break;
            ++result.retries;
        } while (true);
        result.onTime += isAnswered && taken < targetMillis ? 1 : 0;
    }
    return result;
}

// Guards against 503 for requests that other engines have room for.
TEST_CASE("requests in a burst of refusals are on time, which they aren't if refusals count as attempts")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        BurstResult counted = playBursts(true, seed);
        BurstResult separate = playBursts(false, seed);
        // Callers of the chat routes expect 0.90 of the worth of their requests.
        CHECK(separate.onTime >= separate.requests * 0.9);
        CHECK(counted.onTime < counted.requests * 0.9);
        CHECK(separate.retries <= separate.allRequests * 0.2 + 30);
    }
}

TEST_CASE("attempts that have not run don't use up the others, and have a limit")
{
    RetryState state;
    state.attempts = 1;
    state.maxAttempts = 2;
    state.attemptsNotRun = 7;
    state.maxAttemptsNotRun = 8;
    state.isRepeatable = true;
    state.maxEndpoints = 2;
    CHECK(mayRetry(state));
    ++state.attemptsNotRun;
    CHECK_FALSE(mayRetry(state));
    state.attemptsNotRun = 0;
    ++state.attempts;
    CHECK_FALSE(mayRetry(state));
}

// Guards against a second run of a request that may run only once.
TEST_CASE("a refusal after a possible run doesn't permit another run of a request that isn't repeatable")
{
    RetryState state;
    state.attempts = 1;
    state.maxAttempts = 3;
    state.attemptsNotRun = 1;
    state.maxAttemptsNotRun = 8;
    CHECK(mayRetry(state));
    state.mayHaveRun = true;
    CHECK_FALSE(mayRetry(state));
}

} // namespace
} // namespace ragwortwinch
