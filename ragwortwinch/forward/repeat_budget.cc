#include "ragwortwinch/forward/repeat_budget.h"

namespace ragwortwinch {

RepeatBudget::Step& RepeatBudget::current(Instant now)
{
    Millis stepLength = options_.window / stepsPerWindow;
    while (!steps_.empty() && steps_.front().start + options_.window + stepLength <= now)
        steps_.pop_front();
    if (steps_.empty() || now >= steps_.back().start + stepLength)
        steps_.push_back({now, 0, 0});
    return steps_.back();
}

void RepeatBudget::onRequest(Instant now) { ++current(now).requests; }

std::int64_t RepeatBudget::available(Instant now)
{
    current(now);
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
    for (const Step& step : steps_) {
        requests += step.requests;
        repeats += step.repeats;
    }
    double allowed = options_.ratio * static_cast<double>(requests) + options_.slack;
    return static_cast<std::int64_t>(allowed * usedPart) - repeats;
}

bool RepeatBudget::tryTake(Instant now)
{
    if (available(now) < 1)
        return false;
    ++current(now).repeats;
    return true;
}

} // namespace ragwortwinch
