// The state that a node sends to its peers with every heartbeat. Peers reject a digest whose payload
// exceeds maxPeerFrameBytes.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

// The load that one node puts on one endpoint.
struct EndpointLoad {
    std::string endpoint;
    std::int64_t running = 0;
    std::int64_t kvBlocks = 0;
    // Tokens of the node's prompts that await prefill at the endpoint and can still meet their target
    // latency.
    std::int64_t promptTokens = 0;
    // The same for prompts that can't.
    std::int64_t latePromptTokens = 0;

    bool operator==(const EndpointLoad&) const = default;
};

// A request limit that the sender has read in an endpoint's replies.
struct PeerLimit {
    std::string endpoint;
    std::int64_t incarnation = 0;
    // Requests a second from all VMs together; negative if the endpoint no longer names a limit.
    double perSecond = 0;
    std::int64_t ageMillis = 0;
};

struct PeerDigest {
    VmInfo sender;
    std::uint64_t sequence = 0;
    // The greatest sequence number received from the recipient of this digest.
    std::uint64_t echo = 0;
    std::uint64_t configVersion = 0;
    // Time since the sender last confirmed that its configuration is the newest, in milliseconds.
    std::int64_t confirmationAgeMillis = 0;
    bool isStoreDown = false;
    // Names of leaving endpoints and their incarnations, as seen by the sender.
    std::map<std::string, std::uint64_t> leavingEndpoints;
    std::vector<EndpointLoad> loads;
    // The sender's clock, an input to the nodes' common time (see membership/cluster_clock.h).
    std::int64_t unixMillis = 0;
    // Current totals of the sender's latest usage windows, encoded by usage/; may be empty.
    std::string usage;
    std::vector<PeerLimit> limits;
    // Set once the store was restored while the sender ran; without it the next two are not sent.
    std::optional<std::uint64_t> storeEra;
    // When the era was first seen, in milliseconds since 1970.
    std::int64_t eraSeenAtUnixMillis = 0;
    // What the sender knows about reported usage windows, encoded by usage/; may be empty.
    std::string usageProgress;
};

} // namespace ragwortwinch
