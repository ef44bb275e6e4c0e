#include "ragwortwinch/admission/retry_budget.h"

#include <algorithm>

namespace ragwortwinch {

void RetryBudget::onFirstTry()
{
    std::int64_t current = availableHundredths_.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do
        next = std::min(maxHundredths, current + percent_.load(std::memory_order_relaxed));
    while (!availableHundredths_.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

bool RetryBudget::tryTake()
{
    std::int64_t current = availableHundredths_.load(std::memory_order_relaxed);
    while (current >= 100) {
        if (availableHundredths_.compare_exchange_weak(current, current - 100, std::memory_order_relaxed))
            return true;
    }
    return false;
}

} // namespace ragwortwinch
