#include "ragwortwinch/forward/repeat_budget.h"

namespace ragwortwinch {

RepeatBudget::Step& RepeatBudget::current(Instant now)
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

void RepeatBudget::onRequest(Instant now) { ++current(now).requests; }

std::int64_t RepeatBudget::earned() const
{
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
    for (const Step& step : steps_) {
        requests += step.requests;
        repeats += step.repeats;
    }
    return static_cast<std::int64_t>(options_.ratio * static_cast<double>(requests) * usedPart) - repeats;
}

std::int64_t RepeatBudget::slackLeft() const
{
    return static_cast<std::int64_t>(options_.slack * usedPart)
        - static_cast<std::int64_t>(slackUses_.size());
}

std::int64_t RepeatBudget::available(Instant now)
{
    current(now);
    return earned() + slackLeft();
}

bool RepeatBudget::tryTake(Instant now)
{
    Step& step = current(now);
    if (earned() > 0) {
        ++step.repeats;
        return true;
    }
    if (slackLeft() < 1)
        return false;
    slackUses_.push_back(now);
    return true;
}

} // namespace ragwortwinch
