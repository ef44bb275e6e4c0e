#include "ragwortwinch/usage/usage_counter.h"

#include <functional>

namespace ragwortwinch {

void UsageCounter::add(const std::string& team, const UsageFigures& figures, std::int64_t unixMillis)
{
    Stripe& stripe = stripes_[std::hash<std::string>()(team) % stripeCount];
    std::lock_guard<std::mutex> lock(stripe.mutex);
    stripe.windows[windowOf(unixMillis)][team] += figures;
}

WindowUsage UsageCounter::totals() const
{
    WindowUsage totals;
    for (const Stripe& stripe : stripes_) {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        for (const auto& window : stripe.windows) {
            for (const auto& team : window.second)
                totals[window.first][team.first] += team.second;
        }
    }
    return totals;
}

void UsageCounter::forgetBefore(WindowId window)
{
    for (Stripe& stripe : stripes_) {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        stripe.windows.erase(stripe.windows.begin(), stripe.windows.lower_bound(window));
    }
}

} // namespace ragwortwinch
