#include "ragwortwinch/forward/outcome_tracker.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Good answers in a row that end the suspicion.
constexpr int trustedRun = 2;

} // namespace

void OutcomeTracker::onSuccess(Instant)
{
    failureShare_ *= 1 - outcomeWeight;
    failuresInARow_ = 0;
    ++successesInARow_;
    refusalPause_ = firstRefusalPause;
    refusesUntil_ = {};
    if (isSuspect_ && successesInARow_ >= trustedRun) {
        isSuspect_ = false;
        pause_ = firstPause;
        failureShare_ = std::min(failureShare_, suspectShare / 2);
    }
}

void OutcomeTracker::onFailure(Instant now)
{
    failureShare_ += (1 - failureShare_) * outcomeWeight;
    ++failuresInARow_;
    successesInARow_ = 0;
    if (failuresInARow_ >= suspectRun || failureShare_ >= suspectShare || isSuspect_)
        suspect(now);
}

void OutcomeTracker::onUnreachable(Instant now)
{
    failureShare_ += (1 - failureShare_) * outcomeWeight;
    ++failuresInARow_;
    successesInARow_ = 0;
    suspect(now);
}

void OutcomeTracker::onRefused(Instant now)
{
    // Refusals of what was sent before the first one came back belong to the same pause.
    if (isRefusing(now))
        return;
    refusesUntil_ = now + refusalPause_;
    refusalPause_ = std::min(refusalPause_ * 2, longestRefusalPause);
}

void OutcomeTracker::suspect(Instant now)
{
    if (isSuspect_ && now < retryAt_)
        return;
    if (isSuspect_)
        pause_ = std::min(pause_ * 2, longestPause);
    isSuspect_ = true;
    retryAt_ = now + pause_;
}

bool OutcomeTracker::takeTry(Instant now)
{
    if (!isSuspect_)
        return true;
    if (now < retryAt_)
        return false;
    retryAt_ = now + pause_;
    return true;
}

} // namespace ragwortwinch
