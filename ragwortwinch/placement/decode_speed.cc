#include "ragwortwinch/placement/decode_speed.h"

#include <algorithm>

namespace ragwortwinch {

std::optional<double> soundTokenMillis(const std::vector<UpstreamPointer>& engines, Instant now)
{
    std::vector<double> times;
    for (const UpstreamPointer& engine : engines) {
        if (std::optional<double> millis = engine->tokenTime.millis(now))
            times.push_back(*millis);
    }
    if (times.size() < 2)
        return std::nullopt;
    auto quartile = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 4);
    std::nth_element(times.begin(), quartile, times.end());
    return *quartile;
}

double ExpectedTimePenalty::occupancy(const UpstreamEndpoint& engine, double soundMillis, Instant now) const
{
    std::optional<double> millis = engine.tokenTime.millis(now);
    if (!millis || soundMillis <= 0 || *millis < soundMillis * minRatio)
        return 0;
    return std::min(*millis / soundMillis - 1, maxPenalty);
}

} // namespace ragwortwinch
