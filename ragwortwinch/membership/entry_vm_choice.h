// Chooses the entry VMs that a caller is directed to.
//
//     std::vector<VmInfo> vms = chooseEntryVms(table.usable(now), "north-cnx", "north");
//
// Callers pick one of the returned VMs at random and skip those that failed, so a caller that was given a
// single VM has no alternative when that one fails.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortwinch {

// If the caller's zone has fewer VMs than this, more distant ones are added.
inline constexpr std::size_t minEntryVms = 2;

// Returns the VMs of the caller's availability zone and, if these are too few, some of its region and then
// of other regions.
std::vector<VmInfo> chooseEntryVms(
    std::vector<VmInfo> usable, const std::string& availabilityZone, const std::string& region);

} // namespace ragwortwinch
