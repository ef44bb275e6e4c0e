// The time of day that the VMs agree on: the median of their clocks, so that one that jumps misleads nobody.
//
//     ClusterClock time;
//     time.onOwnClock(now, clock.unixMillis());
//     time.onPeerClock(now, "cnx-2", digest.unixMillis);
//     time.unixMillis(now);
//
// Readings of peers that are older than the memory don't count. `unixMillis` is thread-safe; the rest belongs
// to one thread.
#pragma once

#include "ragwortwinch/base/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace ragwortwinch {

class ClusterClock {
public:
    static constexpr Millis memory{5000};

    void onOwnClock(Instant now, std::int64_t unixMillis);
    void onPeerClock(Instant now, const std::string& peer, std::int64_t unixMillis);
    std::int64_t unixMillis(Instant now) const { return now.time_since_epoch().count() + offset_.load(); }
    // How far this VM's clock is from the agreed time.
    std::int64_t ownErrorMillis() const { return ownOffset_ - offset_.load(); }

private:
    struct Reading {
        Instant at;
        std::int64_t offset = 0;
    };

    void update(Instant now);

    std::int64_t ownOffset_ = 0;
    std::map<std::string, Reading> peers_;
    std::atomic<std::int64_t> offset_{0};
};

} // namespace ragwortwinch
