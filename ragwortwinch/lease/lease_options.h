// Durations and policy of a lease.
#pragma once

#include "ragwortwinch/base/time.h"

namespace ragwortwinch {

struct LeaseOptions {
    Millis ttl{4000};
    // Subtracted from the TTL to get the time of authority, for differing clock rates and the time that a
    // check takes.
    Millis margin{400};
    // Upper bound on one send of the former holder.
    Millis sendBound{1500};
    // Delay before another attempt to acquire or renew.
    Millis retryInterval{500};
    // Whether the quiet period is skipped when the former holder released the lease. Turn it off for a duty
    // that a node must not resume soon after it released the lease.
    bool skipsQuietPeriodAfterRelease = true;

    // How long a new holder waits before it sends to receivers that do not check fencing tokens.
    Millis quietPeriod() const { return ttl + margin + sendBound; }
    Millis renewInterval() const { return ttl / 4; }
};

} // namespace ragwortwinch
