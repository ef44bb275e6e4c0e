// The time of day common to all VMs: the median of their clocks, so that one clock that jumps has no effect.
//
//     ClusterClock time;
//     time.onPeerClock(now, "cnx-2", digest.unixMillis);
//     time.onOwnClock(now, clock.unixMillis());
//     time.unixMillis(now);
//
// Readings of peers older than `maxReadingAge` are ignored. `unixMillis` is thread-safe; call the rest from
// one thread only.
#pragma once

#include "ragwortwinch/base/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace ragwortwinch {

class ClusterClock {
public:
    static constexpr Millis maxReadingAge{5000};

    // Also computes the common time anew; call it several times a second.
    void onOwnClock(Instant now, std::int64_t unixMillis);
    void onPeerClock(Instant now, const std::string& peer, std::int64_t unixMillis);
    std::int64_t unixMillis(Instant now) const
    {
        return now.time_since_epoch().count() + offsetMillis_.load();
    }
    // Offset of this VM's clock from the common time.
    std::int64_t ownErrorMillis() const { return ownOffsetMillis_ - offsetMillis_.load(); }

private:
    struct Reading {
        Instant at;
        // Unix time minus the time of the Instant clock.
        std::int64_t offsetMillis = 0;
    };

    void update(Instant now);

    std::int64_t ownOffsetMillis_ = 0;
    std::map<std::string, Reading> peers_;
    std::atomic<std::int64_t> offsetMillis_{0};
};

} // namespace ragwortwinch
