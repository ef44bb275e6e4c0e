// Chooses the VMs that a caller is told to use.
//
//     std::vector<VmInfo> vms = chooseEntryVms(table.usable(now), "north-cnx", "north");
//
// Callers pick one of the answer at random and leave out those that failed them, so an answer with one VM
// leaves a caller without any when that one fails.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortwinch {

// Fewer near VMs than this are filled up with farther ones.
inline constexpr std::size_t leastChoice = 2;

// Returns the VMs of the caller's availability zone; where these are few, those of its region and then
// others.
std::vector<VmInfo> chooseEntryVms(
    std::vector<VmInfo> usable, const std::string& availabilityZone, const std::string& region);

} // namespace ragwortwinch
