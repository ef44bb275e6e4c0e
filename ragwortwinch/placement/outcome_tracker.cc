#include "ragwortwinch/placement/outcome_tracker.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Consecutive successes after which an endpoint is no longer suspect.
constexpr int recoverySuccessRun = 2;

} // namespace

void OutcomeTracker::onSuccess(Instant)
{
    failureShare_ *= 1 - outcomeWeight;
    consecutiveFailures_ = 0;
    ++consecutiveSuccesses_;
    refusalBackoff_ = initialRefusalBackoff;
    backoffUntil_ = {};
    if (isSuspect_ && consecutiveSuccesses_ >= recoverySuccessRun) {
        isSuspect_ = false;
        probeDelay_ = initialProbeDelay;
        // Otherwise the next failure would make it suspect again.
        failureShare_ = std::min(failureShare_, suspectFailureShare / 2);
    }
}

void OutcomeTracker::onFailure(Instant now)
{
    failureShare_ += (1 - failureShare_) * outcomeWeight;
    ++consecutiveFailures_;
    consecutiveSuccesses_ = 0;
    if (consecutiveFailures_ >= suspectFailureRun || failureShare_ >= suspectFailureShare || isSuspect_)
        markSuspect(now);
}

void OutcomeTracker::onUnreachable(Instant now)
{
    failureShare_ += (1 - failureShare_) * outcomeWeight;
    ++consecutiveFailures_;
    consecutiveSuccesses_ = 0;
    markSuspect(now);
}

void OutcomeTracker::onRefused(Instant now)
{
    // Requests that were sent before the first refusal arrived must not extend the backoff.
    if (isBackingOff(now))
        return;
    backoffUntil_ = now + refusalBackoff_;
    refusalBackoff_ = std::min(refusalBackoff_ * 2, maxRefusalBackoff);
}

void OutcomeTracker::markSuspect(Instant now)
{
    if (isSuspect_ && now < nextProbeAt_)
        return;
    if (isSuspect_)
        probeDelay_ = std::min(probeDelay_ * 2, maxProbeDelay);
    isSuspect_ = true;
    nextProbeAt_ = now + probeDelay_;
}

bool OutcomeTracker::tryTakeProbe(Instant now)
{
    if (!isSuspect_)
        return true;
    if (now < nextProbeAt_)
        return false;
    nextProbeAt_ = now + probeDelay_;
    return true;
}

} // namespace ragwortwinch
