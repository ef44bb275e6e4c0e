// Limits the retries of a service's requests, so that an outage doesn't multiply the load.
//
//     WindowedRetryBudget budget({.ratio = 0.2, .window = Millis(10000), .slack = 6});
//     budget.onRequest(now);
//     if (budget.tryTake(now)) retry();
//
// In any window, retries are at most `ratio` times the requests, plus `slack`; requests up to a tenth of a
// window before it count too. Each VM has its own budget, with its part of the operator's slack. Not
// thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <deque>

namespace ragwortwinch {

struct RetryBudgetOptions {
    double ratio = 0.2;
    Millis window{10000};
    double slack = 0;
};

class WindowedRetryBudget {
public:
    explicit WindowedRetryBudget(RetryBudgetOptions options)
        : options_(options)
    {
    }
    // Retries that were taken before count against the new limits.
    void setOptions(RetryBudgetOptions options) { options_ = options; }

    void onRequest(Instant now);
    // Takes one retry from the budget, or returns false when none is left.
    bool tryTake(Instant now);
    // Retries that could be taken now.
    std::int64_t available(Instant now);

private:
    // Counts of one step of time.
    struct Step {
        Instant start;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };
    // Only the requests of the last part of `options_.window` earn retries, so that retries left from a burst
    // can't be used in an outage after it, when the window no longer holds the burst.
    static constexpr int windowParts = 10;
    static constexpr int stepsPerPart = 5;
    // Fraction of the budget that is used: the operators' windows can start between the steps counted here,
    // and sends arrive later than they are counted.
    static constexpr double usableFraction = 0.85;

    Millis partLength() const { return options_.window / windowParts; }
    Step& current(Instant now);
    // Unused retries that the requests of the last part have earned.
    std::int64_t earnedLeft() const;
    std::int64_t slackLeft() const;

    RetryBudgetOptions options_;
    std::deque<Step> steps_;
    // Times of the retries that were taken from the slack.
    std::deque<Instant> slackUses_;
};

} // namespace ragwortwinch
