// Checks a decoded traffic configuration for entries that never take effect and for limits that contradict
// each other.
//
//     std::vector<ConfigFinding> findings = checkTraffic(config, teamLimits, locator);
//
// Load: one pass over at most 12,000 teams with their keys and a few hundred routes and services.
#pragma once

#include "ragwortwinch/config/config_finding.h"
#include "ragwortwinch/config/traffic_config.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

// A team's limit as the document gives it. Numbers are finite and at least 0; 0 if absent.
struct TeamLimitEntry {
    double perSecond = 0;
    double burst = 0;
    // Cost of a request without token counts, if the limit counts tokens.
    double plainTokens = 0;
    bool countsTokens = false;

    bool isLimited() const { return perSecond > 0 || burst > 0; }
    bool operator==(const TeamLimitEntry&) const = default;
};

enum class ConfigSection { Document, Routes, Services, Teams };

enum class ConfigField {
    // The entry as a whole.
    Entry,
    Version,
    Name,
    Prefix,
    Timeout,
    TargetGap,
    Service,
    // One share of a route's services, or the key of a team.
    Share,
    Key,
    ScalingMinimum,
    LimitRate,
    LimitBurst,
};

// A place in the configuration, independent of the names in the document.
struct ConfigPlace {
    ConfigSection section = ConfigSection::Document;
    // Index of the entry in its section.
    std::size_t index = 0;
    ConfigField field = ConfigField::Entry;
    // Index within the field, for `Share` and `Key`.
    std::size_t element = 0;
};

struct ConfigPosition {
    std::string path;
    int line = 0;
};

// Finds places in the document.
class ConfigLocator {
public:
    virtual ~ConfigLocator() = default;
    virtual ConfigPosition locate(const ConfigPlace&) const = 0;
};

// `limits` holds one entry for each team, in the order of `config.teams`; an invalid limit is nullopt.
std::vector<ConfigFinding> checkTraffic(const TrafficConfig& config,
    const std::vector<std::optional<TeamLimitEntry>>& limits, const ConfigLocator& locator);

// Checks that VMs that have adopted version `inForce` would adopt `config`.
std::vector<ConfigFinding> checkVersion(
    const TrafficConfig& config, std::uint64_t inForce, const ConfigLocator& locator);

} // namespace ragwortwinch
