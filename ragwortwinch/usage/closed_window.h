// The final figures of one usage window of one shard (a part of the usage with its own reports). They are
// stored by a create-only write before they are reported, so every report of the window carries the same
// figures.
//
//     ClosedWindow closed = closeWindow(window, previous, totals);
//     StoreOp::put(id, key, closed.toJson(), 0);
#pragma once

#include "ragwortwinch/usage/usage_figures.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct ClosedWindow {
    WindowId window = 0;
    // The usage of this window that was known when it was closed.
    TeamUsage figures;
    // Usage of earlier windows that arrived after they were closed.
    TeamUsage carryOver;
    // For each contributor, its usage included in reports so far, by window; kept for the last
    // `retainedWindows` windows. A contributor is one incarnation of a node, named by its `usageKey`.
    std::map<std::string, WindowUsage> included;

    // The value that is stored; see `parseClosedWindow`.
    std::string toJson() const;
    // The body of the report to the platform.
    std::string reportBody(const std::string& shard) const;
};

// Returns nothing when `text` is not a stored closed window.
std::optional<ClosedWindow> parseClosedWindow(std::string_view text);

// Closes `window`: returns all contributors' `totals` less what has been reported up to `previous`.
ClosedWindow closeWindow(
    WindowId window, const ClosedWindow& previous, const std::map<std::string, WindowUsage>& totals);

} // namespace ragwortwinch
