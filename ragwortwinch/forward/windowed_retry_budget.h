// Bounds how often requests of a service are sent once more, so that trouble doesn't multiply the load.
//
//     WindowedRetryBudget budget({.ratio = 0.2, .window = Millis(10000), .slack = 6});
//     budget.onRequest(now);
//     if (budget.tryTake(now)) sendOnceMore();
//
// In any window the repeats are at most the ratio of the requests plus the slack. One object holds the share
// of one VM; the slack of all VMs together is the operator's. Not thread-safe.
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
    void setOptions(RetryBudgetOptions options) { options_ = options; }

    void onRequest(Instant now);
    // Takes one repeat, or returns false.
    bool tryTake(Instant now);
    // Repeats that could be taken now.
    std::int64_t available(Instant now);

private:
    // Counts of one step of time.
    struct Step {
        Instant start;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };
    // Repeats follow the requests of a part of the operators' window only: unused ones of a burst don't pile
    // up for the trouble after it, when the operators' window no longer holds the burst.
    static constexpr int periodsPerWindow = 10;
    static constexpr int stepsPerPeriod = 5;
    // The part of the budget that is used: the operators' windows begin anywhere between the steps kept here,
    // and sends arrive later than they are counted.
    static constexpr double usableFraction = 0.85;

    Millis accrualPeriod() const { return options_.window / periodsPerWindow; }
    Step& currentStep(Instant now);
    // Repeats that the requests of the present part still cover.
    std::int64_t earned() const;
    std::int64_t slackLeft() const;

    RetryBudgetOptions options_;
    std::deque<Step> steps_;
    // Repeats that the requests did not cover.
    std::deque<Instant> slackUses_;
};

} // namespace ragwortwinch
