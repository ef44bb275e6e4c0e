#include "ragwortwinch/placement/windowed_retry_budget.h"

#include <algorithm>

namespace ragwortwinch {

WindowedRetryBudget::Step& WindowedRetryBudget::current(Instant now)
{
    Millis stepLength = partLength() / stepsPerPart;
    while (!steps_.empty() && steps_.front().start + partLength() <= now)
        steps_.pop_front();
    if (steps_.empty() || now >= steps_.back().start + stepLength)
        steps_.push_back({now, 0, 0});
    while (!slackUses_.empty() && slackUses_.front() + options_.window <= now)
        slackUses_.pop_front();
    return steps_.back();
}

void WindowedRetryBudget::onRequest(Instant now) { ++current(now).requests; }

std::int64_t WindowedRetryBudget::earnedLeft() const
{
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Step& step : steps_) {
        requests += step.requests;
        retries += step.retries;
    }
    return static_cast<std::int64_t>(options_.ratio * static_cast<double>(requests) * usableFraction)
        - retries;
}

std::int64_t WindowedRetryBudget::slackLeft() const
{
    std::int64_t used = static_cast<std::int64_t>(slackUses_.size());
    return std::max<std::int64_t>(0, static_cast<std::int64_t>(options_.slack * usableFraction) - used);
}

std::int64_t WindowedRetryBudget::available(Instant now)
{
    current(now);
    return earnedLeft() + slackLeft();
}

bool WindowedRetryBudget::tryTake(Instant now)
{
    Step& step = current(now);
    if (earnedLeft() > 0) {
        ++step.retries;
        return true;
    }
    if (slackLeft() < 1)
        return false;
    slackUses_.push_back(now);
    return true;
}

} // namespace ragwortwinch
