// One entry VM of the system, as the platform's list, its own heartbeats and its peers describe it.
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
    SocketAddress entryAddress;
    SocketAddress peerAddress;
    // Grows with each start of the process on the VM.
    std::uint64_t incarnation = 0;
    bool isLeaving = false;
    // Whether it takes requests now, by its own word.
    bool isReady = false;
};

// Sorts nearest to the given place first: same availability zone, same region, the rest; stable.
void sortByLocality(std::vector<VmInfo>& vms, const std::string& availabilityZone, const std::string& region);

} // namespace ragwortwinch
