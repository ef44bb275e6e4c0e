// Bounds retries to a fraction of first tries, so that an outage does not multiply the load on what is left.
//
//     RetryBudget budget(10);          // per cent
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
    // Takes one retry from the budget, or returns false.
    bool tryTake();
    // Retries that could be taken now, in hundredths.
    std::int64_t availableHundredths() const { return hundredths_.load(); }

private:
    // At most this many retries are saved up, so that a quiet hour does not pay for a storm.
    static constexpr std::int64_t maxHundredths = 20 * 100;

    std::atomic<std::int64_t> percent_;
    std::atomic<std::int64_t> hundredths_{10 * 100};
};

} // namespace ragwortwinch
