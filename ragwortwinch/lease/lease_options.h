// The times of a lease.
#pragma once

#include "ragwortwinch/base/time.h"

namespace ragwortwinch {

struct LeaseOptions {
    Millis ttl{4000};
    // Deducted from every lease, for clock rates that differ and for the time of a check.
    Millis margin{400};
    // The longest that one send of the former holder may take.
    Millis sendBound{1500};
    // How long to wait before trying again to acquire or renew.
    Millis retryInterval{500};
    // Whether a lease that its holder gave back spares the next one the quiet period. Not where a duty must
    // not return to a former holder within some time.
    bool skipsQuietPeriodAfterRelease = true;

    // How long a new holder waits before it sends to those that do not check fencing numbers.
    Millis quietPeriod() const { return ttl + margin + sendBound; }
    Millis renewInterval() const { return ttl / 4; }
};

} // namespace ragwortwinch
