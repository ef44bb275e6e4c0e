// The frozen figures of one usage window of one shard: written create-only before they are reported.
#pragma once

#include "ragwortwinch/usage/usage_figures.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct ClosedWindow {
    WindowId window = 0;
    // What the teams used in this window, as far as known when it was closed.
    TeamUsage figures;
    // What came late for earlier windows.
    TeamUsage carryOver;
    // For each contributor, what has been reported of each of the latest windows.
    std::map<std::string, WindowUsage> included;

    std::string toJson() const;
    // What the platform is told.
    std::string reportBody(const std::string& shard) const;
};

std::optional<ClosedWindow> parseClosedWindow(std::string_view text);

// Returns the figures of `window` from all contributors' totals, less what `previous` has reported.
ClosedWindow closeWindow(
    WindowId window, const ClosedWindow& previous, const std::map<std::string, WindowUsage>& totals);

} // namespace ragwortwinch
