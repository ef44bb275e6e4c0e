// What the VMs know about reported usage windows, whatever the store has forgotten. They tell each other in
// heartbeats.
//
//     progress.merge(peerProgress);
//     if (progress.isComplete(era)) reportFrom(progress.window + 1);
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/usage/usage_figures.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct UsageProgress {
    // The latest window whose report was sent; 0 if none is known.
    WindowId window = 0;
    // The figures that were sent, as long as it is not known whether the report arrived, and the late usage
    // with them.
    std::optional<TeamUsage> figures;
    TeamUsage carryOver;
    // The epoch of the latest known process with the authority to report.
    std::uint64_t epoch = 0;
    // The era of the store that ended this authority. No other process reported before it.
    std::optional<std::uint64_t> endedByEra;

    // Takes what `other` knows better.
    void merge(const UsageProgress& other);
    // Whether all reports from before the store's era are known.
    bool isComplete(std::optional<std::uint64_t> era) const { return era && endedByEra == era; }

    std::string toJson() const;
    bool operator==(const UsageProgress&) const = default;
};

// Returns nothing when `text` is malformed.
std::optional<UsageProgress> parseUsageProgress(std::string_view text);

} // namespace ragwortwinch
