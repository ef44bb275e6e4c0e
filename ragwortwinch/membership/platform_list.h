// The platform's list of live and leaving VMs and endpoints; it lags.
//
//     std::optional<PlatformList> list = parsePlatformList(body);
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct PlatformList {
    // False when the answer has no list of VMs, which says nothing about them.
    bool hasVms = false;
    std::vector<VmInfo> vms;
    // Endpoints that are leaving, with their incarnation.
    std::map<std::string, std::uint64_t> leavingEndpoints;
};

// Returns nothing when `body` is no JSON object.
std::optional<PlatformList> parsePlatformList(std::string_view body);

} // namespace ragwortwinch
