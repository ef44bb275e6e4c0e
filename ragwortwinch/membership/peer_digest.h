// What a node tells each of its peers with every heartbeat. Bounded in bytes.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

// The work that one node has at one endpoint.
struct EndpointLoad {
    std::string endpoint;
    std::int64_t running = 0;
    std::int64_t kvBlocks = 0;
    // Prompt tokens that the endpoint has yet to read for it: of prompts that can be on time, and of late
    // ones.
    std::int64_t promptTokens = 0;
    std::int64_t latePromptTokens = 0;
};

struct PeerDigest {
    VmInfo sender;
    std::uint64_t sequence = 0;
    // The greatest sequence number received from the peer that this digest goes to.
    std::uint64_t echo = 0;
    std::uint64_t configVersion = 0;
    // Age of the sender's last proof that its configuration is the newest, in milliseconds.
    std::int64_t confirmationAgeMillis = 0;
    bool isStoreDown = false;
    // Endpoints that the sender knows to be leaving, with their incarnation.
    std::map<std::string, std::uint64_t> leavingEndpoints;
    std::vector<EndpointLoad> loads;
    // The sender's time of day, by which the nodes agree on one (see membership/true_time.h).
    std::int64_t unixMillis = 0;
    // What the sender's latest usage windows hold so far, as the usage package writes it; may be empty.
    std::string usage;
};

} // namespace ragwortwinch
