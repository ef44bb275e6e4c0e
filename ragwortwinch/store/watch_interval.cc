#include "ragwortwinch/store/watch_interval.h"

#include <algorithm>
#include <cmath>

namespace ragwortwinch {

namespace {

// The interval changes in steps of this size, so that one VM more or less rarely changes it.
constexpr Millis step{50};
// The largest interval without the random part of a tenth.
constexpr Millis longestBase{1800};
constexpr double randomPart = 0.1;
// With k readers at random phases, the times between two reads of a zone are exponentially distributed around
// a k-th of the interval. At 100 ms, 99 of 100 are under 460 ms, as with one reader at 500 ms; at 500 ms,
// 605 ms were measured with 82 VMs.
constexpr Millis intervalPerReader{100};

static_assert(longestBase + longestBase / 10 <= WatchInterval::longest);

} // namespace

bool WatchInterval::update(std::size_t vmCount, std::size_t zoneReaders)
{
    isShared_ = vmCount > maxUnsharedVms;
    Millis next = shortest;
    if (isShared_) {
        Millis byVms
            = shortest * static_cast<std::int64_t>(vmCount) / static_cast<std::int64_t>(maxUnsharedVms);
        Millis byReaders = intervalPerReader * static_cast<std::int64_t>(zoneReaders);
        next = std::clamp(std::min(byVms, byReaders) / step * step, shortest, longestBase);
    }
    if (next == base_)
        return false;
    hasGrown_ = next > base_;
    base_ = next;
    return true;
}

Millis WatchInterval::next(double random)
{
    if (!isShared_ || base_ == shortest) {
        hasGrown_ = false;
        return base_;
    }
    double least = static_cast<double>(base_.count());
    double range = least * randomPart;
    if (hasGrown_) {
        // The whole cycle: a part of it without a reader would make facts old at each turn.
        range = least;
        least = 0;
        hasGrown_ = false;
    }
    return Millis(static_cast<std::int64_t>(std::lround(least + range * std::clamp(random, 0.0, 1.0))));
}

} // namespace ragwortwinch
