#include "ragwortwinch/membership/cluster_clock.h"

#include <algorithm>
#include <vector>

namespace ragwortwinch {

void ClusterClock::onOwnClock(Instant now, std::int64_t unixMillis)
{
    ownOffsetMillis_ = unixMillis - now.time_since_epoch().count();
    update(now);
}

void ClusterClock::onPeerClock(Instant now, const std::string& peer, std::int64_t unixMillis)
{
    peers_[peer] = {now, unixMillis - now.time_since_epoch().count()};
}

void ClusterClock::update(Instant now)
{
    std::erase_if(peers_, [now](const std::pair<const std::string, Reading>& entry) {
        return now - entry.second.at > maxReadingAge;
    });
    std::vector<std::int64_t> offsets{ownOffsetMillis_};
    for (const auto& [peer, reading] : peers_)
        offsets.push_back(reading.offsetMillis);
    std::sort(offsets.begin(), offsets.end());
    std::size_t middle = offsets.size() / 2;
    std::int64_t median = offsets.size() % 2 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
    // Two clocks have no majority, so a previous offset is kept.
    bool isSplit = offsets.size() == 2 && offsetMillis_.load() != 0;
    if (!isSplit)
        offsetMillis_.store(median);
}

} // namespace ragwortwinch
