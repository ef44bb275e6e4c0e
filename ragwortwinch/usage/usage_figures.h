// The usage of one team, and tables of usage by team and window.
#pragma once

#include "ragwortwinch/base/json.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct UsageFigures {
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;

    bool operator==(const UsageFigures&) const = default;
    bool isZero() const { return *this == UsageFigures{}; }
    UsageFigures& operator+=(const UsageFigures& other);
    UsageFigures& operator-=(const UsageFigures& other);
};

// Identifies a usage window: the number of windows between 1970 and its start.
using WindowId = std::int64_t;

using TeamUsage = std::map<std::string, UsageFigures>;
using WindowUsage = std::map<WindowId, TeamUsage>;

// Sets each figure of `totals` to the maximum of it and that of `other`. The running totals of one process
// never decrease, so the greater figure is the later one.
void mergeTotals(WindowUsage& totals, const WindowUsage& other);

// Returns the figures of `totals` that differ from those in `former`.
WindowUsage changedTotals(const WindowUsage& totals, const WindowUsage& former);

// A compact binary form for messages between VMs. Decoding returns nullopt if the bytes are malformed.
std::string encodeTotals(const WindowUsage& totals);
std::optional<WindowUsage> decodeTotals(std::string_view bytes);

// JSON of the form {"<team>": [requests, prompt tokens, output tokens]} and {"<window>": {...}}. Members of
// another form are skipped, but a list of three that holds anything but numbers throws.
Json toJson(const TeamUsage&);
Json toJson(const WindowUsage&);
TeamUsage teamUsageFromJson(const Json&);
WindowUsage windowUsageFromJson(const Json&);

} // namespace ragwortwinch
