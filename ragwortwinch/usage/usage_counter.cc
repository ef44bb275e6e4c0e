#include "ragwortwinch/usage/usage_counter.h"

#include <functional>

namespace ragwortwinch {

void UsageCounter::add(const std::string& team, const UsageFigures& figures, std::int64_t unixMillis)
{
    Shard& shard = shards_[std::hash<std::string>()(team) % shardCount];
    std::lock_guard<std::mutex> lock(shard.mutex);
    shard.windows[windowOf(unixMillis)][team] += figures;
}

WindowUsage UsageCounter::totals() const
{
    WindowUsage totals;
    for (const Shard& shard : shards_) {
        std::lock_guard<std::mutex> lock(shard.mutex);
        for (const auto& window : shard.windows) {
            for (const auto& team : window.second)
                totals[window.first][team.first] += team.second;
        }
    }
    return totals;
}

void UsageCounter::forgetBefore(WindowId window)
{
    for (Shard& shard : shards_) {
        std::lock_guard<std::mutex> lock(shard.mutex);
        shard.windows.erase(shard.windows.begin(), shard.windows.lower_bound(window));
    }
}

} // namespace ragwortwinch
