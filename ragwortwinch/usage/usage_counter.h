// Counts the usage of teams while requests are served.
//
//     UsageCounter counter(Millis(60000));
//     counter.add("riders", { 1, 420, 96 }, clock.unixMillis());
//     WindowUsage totals = counter.totals();
//
// Thread-safe; teams are distributed over stripes, each with its own mutex.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/usage/usage_figures.h"

#include <array>
#include <mutex>

namespace ragwortwinch {

class UsageCounter {
public:
    explicit UsageCounter(Millis windowLength)
        : windowLength_(windowLength)
    {
    }

    // Adds `figures` to the window that contains `unixMillis` (milliseconds since 1970).
    void add(const std::string& team, const UsageFigures& figures, std::int64_t unixMillis);
    // Returns the totals of this process for every window not yet removed.
    WindowUsage totals() const;
    // Removes all windows before `window`.
    void forgetBefore(WindowId window);
    WindowId windowOf(std::int64_t unixMillis) const { return unixMillis / windowLength_.count(); }

private:
    struct Stripe {
        mutable std::mutex mutex;
        WindowUsage windows;
    };
    static constexpr std::size_t stripeCount = 16;

    Millis windowLength_;
    std::array<Stripe, stripeCount> stripes_;
};

} // namespace ragwortwinch
