// The platform's list of VMs and of leaving endpoints; it lags behind the actual state.
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
    // False if the answer has no list of VMs, which doesn't mean that there are none.
    bool hasVms = false;
    std::vector<VmInfo> vms;
    // Names of leaving endpoints, with their incarnations.
    std::map<std::string, std::uint64_t> leavingEndpoints;
};

// Returns nothing if `body` is not a JSON object.
std::optional<PlatformList> parsePlatformList(std::string_view body);

} // namespace ragwortwinch
