// What VMs that forward requests tell each other after the first digest of a connection: a heartbeat of fixed
// size, and news with what has changed. Both are the same for all peers.
//
//     std::string frames = encodeHeartbeat(heartbeat);
//     if (!news.isEmpty())
//         frames += encodeNews(news);
//     std::optional<PeerHeartbeat> heartbeat = decodeHeartbeat(frame.payload);
//     std::optional<PeerNews> news = decodeNews(frame.payload);
//
// Integers are big-endian. A heartbeat may grow at its end, and news by further sections: decoders skip what
// they don't know, so that VMs of different releases understand each other.
#pragma once

#include "ragwortwinch/membership/peer_digest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

struct PeerHeartbeat {
    std::uint64_t incarnation = 0;
    bool isReady = false;
    bool isLeaving = false;
    bool isStoreDown = false;
    std::uint64_t configVersion = 0;
    // The sender's clock.
    std::int64_t unixMillis = 0;
    // See VmInfo.
    Millis lag{0};

    bool operator==(const PeerHeartbeat&) const = default;
};

struct StoreEraNews {
    std::uint64_t era = 0;
    std::int64_t seenAtUnixMillis = 0;
    // See PeerDigest.
    std::string usageProgress;

    bool operator==(const StoreEraNews&) const = default;
};

// A team's use of its limit at the sender; see TeamDemand of allowance/.
struct PeerTeamDemand {
    std::string team;
    std::int64_t countedSince = 0;
    std::int64_t admitted = 0;
    std::int64_t perSecond = 0;
    std::int64_t level = 0;

    bool operator==(const PeerTeamDemand&) const = default;
};

// What has changed since the sender's former news.
struct PeerNews {
    // All of the sender's load, if any of it has changed.
    std::optional<std::vector<EndpointLoad>> loads;
    // The limits that were read anew.
    std::vector<PeerLimit> limits;
    // Usage totals that have grown, encoded by usage/; may be empty.
    std::string usage;
    std::optional<StoreEraNews> storeEra;
    // Teams with a limit and recent demand, in all news while there are any.
    std::vector<PeerTeamDemand> demands;

    bool isEmpty() const { return !loads && limits.empty() && usage.empty() && !storeEra && demands.empty(); }
};

// Return whole frames.
std::string encodeHeartbeat(const PeerHeartbeat&);
std::string encodeNews(const PeerNews&);
// Announces that the sender understands heartbeats, news and changes from the store (store_news.h).
std::string encodeCapabilities();

// The decoders return nothing if the payload is malformed.
std::optional<PeerHeartbeat> decodeHeartbeat(std::string_view payload);
std::optional<PeerNews> decodeNews(std::string_view payload);
// Returns whether the peer understands heartbeats and news.
bool decodeCapabilities(std::string_view payload);
// Returns whether the peer understands changes from the store.
bool announcesStoreNews(std::string_view payload);

} // namespace ragwortwinch
