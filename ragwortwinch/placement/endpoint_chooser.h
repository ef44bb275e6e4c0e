// Chooses the endpoint for one request. Uses no sockets and no clock.
//
//     std::unique_ptr<EndpointChooser> chooser = std::make_unique<AffinityChooser>();
//     UpstreamPointer endpoint = chooser->choose(query, candidates, now);
//
// Designed for many short requests from several VMs that share endpoints without coordinating each request.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/decode_speed.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

// Short requests spill over to a farther endpoint only when the nearer ones are nearly full.
inline constexpr double defaultSpillOccupancy = 0.8;
// Long replies hold their slots for seconds, so they spill over early and leave slots for short ones.
inline constexpr double longReplySpillOccupancy = 0.5;
// For KV transfers: moving the cache to another zone takes longer than waiting for a slot in the same zone.
inline constexpr double neverSpill = 1e9;

struct PlacementQuery {
    // Location of the VM that sends the request.
    std::string availabilityZone;
    std::string region;
    // Id of the last shared prompt part, by which requests are kept on one endpoint; 0 for no affinity.
    std::uint64_t affinity = 0;
    // Where the search among equally loaded endpoints starts, to spread requests without affinity.
    std::uint64_t searchStart = 0;
    // Endpoints that this request was already sent to.
    std::vector<const UpstreamEndpoint*> excluded;
    // Slot occupancy, as a fraction, from which a farther endpoint is used instead of a nearer one.
    double spillOccupancy = defaultSpillOccupancy;
    // Slots at all engines together that the request leaves free for more urgent ones, if it may use others.
    double reservedSlots = 0;
    // Slots at all engines together that less urgent requests leave free for this one and more urgent ones; 0
    // if there have been none lately.
    double slotsLeftByOthers = 0;
    // Whether engines that prefill long prompts are used only if there is no other one as near.
    bool avoidsLongPrompts = false;
    // Whether the reply is long, so that engines count by how fast they generate tokens.
    bool prefersFastDecode = false;
    // Whether the request may be used to probe a suspect endpoint.
    bool mayProbe = false;
};

// Network distance between an endpoint and the VM that sends the request.
enum class Distance { SameZone, SameRegion, OtherRegion };

Distance distanceOf(const PlacementQuery&, const UpstreamEndpoint&);

class EndpointChooser {
public:
    virtual ~EndpointChooser() = default;
    // Returns null when no candidate may be used.
    virtual UpstreamPointer choose(
        const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now)
        = 0;
};

// Baseline: the endpoint with the lowest slot occupancy, wherever it is.
class LeastLoadedChooser final : public EndpointChooser {
public:
    UpstreamPointer choose(
        const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now) override;
};

// Prefers nearby endpoints. Requests with the same affinity go to one of them (rendezvous hashing with
// bounded loads) unless it has much more load than the others.
class AffinityChooser final : public EndpointChooser {
public:
    // By ExpectedTimePenalty.
    AffinityChooser();
    // `penalty` must outlive the chooser.
    explicit AffinityChooser(const DecodePenalty& penalty)
        : penalty_(penalty)
    {
    }
    UpstreamPointer choose(
        const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now) override;

private:
    const DecodePenalty& penalty_;
};

// Returns the candidates that may be used now: registered, neither draining nor misdirected, not excluded,
// within their request limits, and neither suspect nor backing off unless there are no others. Sets
// `probeTarget` if the query may probe, a suspect endpoint is due for a probe, and there are healthy ones.
// Endpoints that are leaving or paused by what they said in a reply are left out too.
std::vector<UpstreamPointer> usableCandidates(const PlacementQuery& query,
    const std::vector<UpstreamPointer>& candidates, Instant now, UpstreamPointer& probeTarget);

// Returns when the first endpoint may be sent to again if all that are usable have asked for a pause; nullopt
// otherwise.
std::optional<Instant> earliestReturn(const std::vector<UpstreamPointer>& endpoints, Instant now);

} // namespace ragwortwinch
