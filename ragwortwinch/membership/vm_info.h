// One entry VM, as described by the platform's list, its entry in the store or its heartbeats.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

struct VmInfo {
    std::string name;
    std::string availabilityZone;
    std::string region;
    // Where it serves callers.
    SocketAddress entryAddress;
    // Where it accepts connections from peers.
    SocketAddress peerAddress;
    // Start time of the node in Unix milliseconds; distinguishes restarts. May decrease after its clock was
    // set back.
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    // Whether the node reports that it is ready for requests.
    bool isReady = false;
    // Bandwidth of its link in megabits a second, and processor time in cores; 0 if unknown.
    double linkMbps = 0;
    double processorCores = 0;
    // How far it was behind at most in the last second.
    Millis lag{0};
};

// Stable sort by distance: the given availability zone first, then its region, then the rest.
void sortByLocality(std::vector<VmInfo>& vms, const std::string& availabilityZone, const std::string& region);

} // namespace ragwortwinch
