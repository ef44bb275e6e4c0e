// What one team used, and the tables of it.
#pragma once

#include "ragwortwinch/base/json.h"

#include <cstdint>
#include <map>
#include <string>

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

// A usage window: the count of window lengths since 1970.
using WindowId = std::int64_t;

using TeamUsage = std::map<std::string, UsageFigures>;
using WindowUsage = std::map<WindowId, TeamUsage>;

// Raises each figure of `totals` to that of `other`, where it is greater. Running totals of one process only
// grow, so the greater one is the later.
void raiseTotals(WindowUsage& totals, const WindowUsage& other);

// JSON as {"team": [requests, prompt tokens, output tokens]} and {"window": {...}}.
Json toJson(const TeamUsage&);
Json toJson(const WindowUsage&);
TeamUsage teamUsageFromJson(const Json&);
WindowUsage windowUsageFromJson(const Json&);

} // namespace ragwortwinch
