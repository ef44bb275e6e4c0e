// Describes what differs between two traffic configurations, for operators.
//
//     for (const ConfigChange& change : describeChanges(before, after))
//         std::cout << change.message << '\n';   // route `chat`: the timeout rises from 2000 ms to 3000 ms
//
// Entries are compared by their names; their order doesn't count. Keys are counted, never shown.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/config/traffic_checks.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

enum class ChangeKind { Added, Removed, Changed };

inline constexpr NameTable<ChangeKind, 3> changeKindNames{{{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Changed, "changed"},
}}};

struct ConfigChange {
    ChangeKind kind = ChangeKind::Changed;
    // The kind and name of the entry, such as "route `chat`".
    std::string entry;
    std::string message;
};

// A configuration with the limits of its teams, in the order of `config.teams`; see `checkTraffic`.
struct CheckedTraffic {
    TrafficConfig config;
    std::vector<std::optional<TeamLimitEntry>> limits;
};

// Keys are compared by `keyDigest`.
std::vector<ConfigChange> describeChanges(const CheckedTraffic& before, const CheckedTraffic& after);

// Returns `digestPrefix` and the SHA-256 of `key`, or `key` itself if it begins with `digestPrefix`. VMs give
// out their configuration with digests in the place of keys.
std::string keyDigest(const std::string& key);

inline constexpr const char* digestPrefix = "sha256:";

} // namespace ragwortwinch
