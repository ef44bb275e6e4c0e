// Limits retries to a fraction of first tries, so that an outage doesn't multiply the load on the remaining
// endpoints.
//
//     RetryBudget budget(10);          // percent
//     budget.onFirstTry();
//     if (budget.tryTake()) retry();
//
// Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>

namespace ragwortwinch {

class RetryBudget {
public:
    explicit RetryBudget(std::int64_t percent)
        : percent_(percent)
    {
    }
    void setPercent(std::int64_t percent) { percent_.store(percent); }
    void onFirstTry();
    // Takes one retry from the budget; returns false if none is left.
    bool tryTake();
    // Available budget, in hundredths of a retry.
    std::int64_t availableHundredths() const { return availableHundredths_.load(); }

private:
    // Caps the unused budget, so that a long time without retries doesn't permit a burst of them.
    static constexpr std::int64_t maxHundredths = 20 * 100;

    std::atomic<std::int64_t> percent_;
    // Initially 10 retries.
    std::atomic<std::int64_t> availableHundredths_{10 * 100};
};

} // namespace ragwortwinch
