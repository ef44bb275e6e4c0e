// What an endpoint has said of itself in its replies to this VM: that it is leaving, and that it wants no
// requests for a while. Decides, with nothing else of the endpoint, from when it may be sent to.
//
//     EndpointNotices notices(/*returnSpread=*/0.05);
//     notices.onReply(now, reply.isLeaving, pause);       // after the head of each reply
//     if (notices.maySend(now)) send();
//
// Leaving holds for the endpoint's incarnation. A pause ends with its time: a later reply lengthens it, but
// none shortens it, since replies overtake each other. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <optional>

namespace ragwortwinch {

class EndpointNotices {
public:
    // Pauses are longer by up to this fraction, so that VMs don't all return at the same moment.
    static constexpr double maxReturnSpread = 0.1;

    explicit EndpointNotices(double returnSpread = 0)
        : returnSpread_(returnSpread)
    {
    }

    // `pause` is the time that a refusal names. Returns whether anything has changed that was not known.
    bool onReply(Instant now, bool isLeaving, std::optional<Millis> pause);
    void markLeaving() { isLeaving_ = true; }

    bool isLeaving() const { return isLeaving_; }
    bool isPaused(Instant now) const { return now < pausedUntil_; }
    Instant pausedUntil() const { return pausedUntil_; }
    bool maySend(Instant now) const { return !isLeaving_ && !isPaused(now); }

private:
    double returnSpread_;
    bool isLeaving_ = false;
    Instant pausedUntil_ = Instant::min();
};

} // namespace ragwortwinch
