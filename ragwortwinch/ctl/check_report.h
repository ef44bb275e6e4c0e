// Formats the findings of `ragwortwinch check` as text or JSON.
//
//     std::cout << reportText(report);
#pragma once

#include "ragwortwinch/config/config_finding.h"
#include "ragwortwinch/config/traffic_changes.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

enum class ReportFormat { Text, Json };

inline constexpr NameTable<ReportFormat, 2> reportFormatNames{{{
    {ReportFormat::Text, "text"},
    {ReportFormat::Json, "json"},
}}};

struct CheckReport {
    std::string file;
    std::vector<ConfigFinding> findings;
    // There are more than `findings`.
    bool hasMore = false;
    // What the file was compared with; empty if nothing.
    std::string against;
    // Absent if there is nothing to compare with, or the file can't be decoded.
    std::optional<std::vector<ConfigChange>> changes;
};

// One line for each finding and change, and one with their counts at the end.
std::string reportText(const CheckReport&);
std::string reportJson(const CheckReport&);

} // namespace ragwortwinch
