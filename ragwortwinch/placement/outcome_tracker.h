// Detects an unhealthy endpoint from the outcomes of its requests, since health checks can pass while
// requests fail.
//
//     tracker.onFailure(now);
//     if (tracker.isSuspect() && !tracker.tryTakeProbe(now)) preferAnotherEndpoint();
//
// A suspect endpoint is probed with one request per probe delay. The delay doubles with each failure that
// arrives when the next probe is already due. An engine that refuses to prefill a prompt is healthy but busy:
// it is avoided for a shorter backoff, which its next success ends. Other refusals are reported as failures.
// Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

namespace ragwortwinch {

class OutcomeTracker {
public:
    // An endpoint becomes suspect when its moving average of failures reaches this.
    static constexpr double suspectFailureShare = 0.5;
    // Consecutive failures that make an endpoint suspect regardless of its average.
    static constexpr int suspectFailureRun = 3;
    // Weight of one outcome in the moving average.
    static constexpr double outcomeWeight = 0.1;
    static constexpr Millis initialProbeDelay{500};
    static constexpr Millis maxProbeDelay{4000};
    // Backoff after a refusal: about the time in which an engine's queue drains. It doubles, since an
    // engine that changes its role refuses for seconds.
    static constexpr Millis initialRefusalBackoff{100};
    static constexpr Millis maxRefusalBackoff{1000};

    void onSuccess(Instant now);
    void onFailure(Instant now);
    // The endpoint couldn't be reached; it becomes suspect at once.
    void onUnreachable(Instant now);
    // The engine refused to prefill a prompt.
    void onRefused(Instant now);
    bool isBackingOff(Instant now) const { return now < backoffUntil_; }
    // True while the endpoint is suspect and not yet due for a probe.
    bool isAwaitingProbe(Instant now) const { return isSuspect_ && now < nextProbeAt_; }
    // True if a request may be sent now: the endpoint isn't suspect, or is due for a probe. The next probe is
    // then due one probe delay later.
    bool tryTakeProbe(Instant now);
    bool isSuspect() const { return isSuspect_; }
    double failureShare() const { return failureShare_; }

private:
    void markSuspect(Instant now);

    double failureShare_ = 0;
    int consecutiveFailures_ = 0;
    int consecutiveSuccesses_ = 0;
    bool isSuspect_ = false;
    Millis probeDelay_ = initialProbeDelay;
    Instant nextProbeAt_;
    Millis refusalBackoff_ = initialRefusalBackoff;
    Instant backoffUntil_;
};

} // namespace ragwortwinch
