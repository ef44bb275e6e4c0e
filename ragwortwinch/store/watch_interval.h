// The shortest time between two watches of one VM. In a deployment of many VMs, the VMs of a zone tell each
// other what they read, so each of them reads less often.
//
//     WatchInterval interval;
//     if (interval.update(vmCount, zoneReaders)) log(interval.base());
//     follower.setMinWatchInterval(interval.next(random));
//
// Each VM ends its watches at this rate, since the heartbeats of endpoints end every watch at once: 300 VMs
// at 500 ms are 600 calls a second. Holds no clock and no random source.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstddef>

namespace ragwortwinch {

class WatchInterval {
public:
    // Deployments of up to this many VMs don't share what they read.
    static constexpr std::size_t maxUnsharedVms = 12;
    static constexpr Millis shortest{500};
    // Leaves 500 ms of the shortest bound on the age of a fact (2,500 ms), for a VM that hears from no peer.
    // Includes the random part.
    static constexpr Millis longest{2000};

    // `vmCount` is the number of VMs known, and `zoneReaders` that of the live VMs of this zone that reach
    // the store and share what they read, both including this one. Returns whether `base` has changed.
    bool update(std::size_t vmCount, std::size_t zoneReaders);
    // Returns the time until the next watch; `random` is at least 0 and less than 1.
    Millis next(double random);
    // The interval without its random part.
    Millis base() const { return base_; }
    // Whether VMs share what they read.
    bool isShared() const { return isShared_; }

private:
    Millis base_ = shortest;
    bool isShared_ = false;
    // VMs that start together watch in step: the first interval after a growth spreads them.
    bool hasGrown_ = false;
};

} // namespace ragwortwinch
