// Chooses the entry VMs that a caller is directed to.
//
//     std::vector<VmInfo> vms = chooseEntryVms(table.usable(now), "north-cnx", "north");
//
//     std::vector<VmInfo> addresses = repeatByCapacity(vms, 64);
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

// Callers pick one of the addresses that they are given at random. Returns the VMs, each as often as its
// share of the callers asks for, at least once, and `limit` entries at most. A VM's share follows from the
// scarcer of link and processor, compared with the mean of the VMs, and falls while it lags. No VM among
// several gets more than half of the callers.
std::vector<VmInfo> repeatByCapacity(const std::vector<VmInfo>& vms, std::size_t limit);

} // namespace ragwortwinch
