// Judges an endpoint by the outcomes of the requests that it was sent, since a health check can be good while
// requests fail.
//
//     tracker.onFailure(now);
//     if (tracker.isAwaitingProbe(now)) prefer another endpoint, but try this one with one request in a while
//
// A suspect endpoint is tried again after a pause that doubles with each failed try. One that refuses what it
// is sent, without running it, is sound but busy: it is passed over for a shorter pause that its next success
// ends. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

namespace ragwortwinch {

class OutcomeTracker {
public:
    // An endpoint is suspect once its decayed share of failures reaches this.
    static constexpr double suspectFailureShare = 0.5;
    // Failures in a row that make an endpoint suspect whatever came before.
    static constexpr int suspectFailureRun = 3;
    // How much one outcome weighs against the history.
    static constexpr double outcomeWeight = 0.1;
    static constexpr Millis initialProbeDelay{500};
    static constexpr Millis maxProbeDelay{4000};
    // After a refusal: about the time that an engine's queue takes to empty. It doubles, since a change of
    // role takes seconds.
    static constexpr Millis initialRefusalBackoff{100};
    static constexpr Millis maxRefusalBackoff{1000};

    void onSuccess(Instant now);
    void onFailure(Instant now);
    // The endpoint couldn't even be reached: suspect at once.
    void onUnreachable(Instant now);
    // The endpoint has refused a request without running it.
    void onRefused(Instant now);
    bool isBackingOff(Instant now) const { return now < backoffUntil_; }
    // True while other endpoints should be preferred.
    bool isAwaitingProbe(Instant now) const { return isSuspect_ && now < nextProbeAt_; }
    // True once when a suspect endpoint is due for a try; the next one is a pause later.
    bool tryTakeProbe(Instant now);
    bool isSuspect() const { return isSuspect_; }
    double failureShare() const { return failureShare_; }

private:
    void markSuspect(Instant now);

    double failureShare_ = 0;
    int failuresInARow_ = 0;
    int successesInARow_ = 0;
    bool isSuspect_ = false;
    Millis probeDelay_ = initialProbeDelay;
    Instant nextProbeAt_;
    Millis refusalBackoff_ = initialRefusalBackoff;
    Instant backoffUntil_;
};

} // namespace ragwortwinch
