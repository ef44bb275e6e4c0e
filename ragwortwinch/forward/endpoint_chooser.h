// Chooses the endpoint for one request. A pure decision: no sockets, no clock.
//
//     std::unique_ptr<EndpointChooser> chooser = std::make_unique<AffinityChooser>();
//     UpstreamPointer endpoint = chooser->choose(query, candidates, now);
//
// It answers the load of many short requests from several VMs that share endpoints without talking to each
// other for each request.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/upstream_endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

// Short requests leave an endpoint near by only when it is nearly full.
inline constexpr double defaultSpillOccupancy = 0.8;
// Long answers hold their slots for seconds, so they spread early and leave slots for short ones.
inline constexpr double longAnswerSpillOccupancy = 0.5;
// Memory that moves to another zone takes longer than waiting for a slot in this one.
inline constexpr double neverSpill = 1e9;

struct PlacementQuery {
    // Of the VM that asks.
    std::string availabilityZone;
    std::string region;
    // Names the shared part of the prompt that costs most to read again; 0 when there is none.
    std::uint64_t affinity = 0;
    // Spreads requests without affinity.
    std::uint64_t spread = 0;
    // Endpoints that this request has been sent to.
    std::vector<const UpstreamEndpoint*> excluded;
    // The part of its slots from which a nearer endpoint is left for a farther one.
    double spillOccupancy = defaultSpillOccupancy;
    // Whether the request may be spent on a suspect endpoint, to see whether it has recovered.
    bool mayProbe = false;
};

// How far an endpoint is from the VM that asks.
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

// The simplest rival: the fewest running requests, wherever they are.
class LeastLoadedChooser final : public EndpointChooser {
public:
    UpstreamPointer choose(
        const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now) override;
};

// Requests that share a prompt go to one endpoint near by, as long as it isn't loaded beyond the others.
class AffinityChooser final : public EndpointChooser {
public:
    UpstreamPointer choose(
        const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now) override;
};

// The candidates that may be used now: not excluded, and not suspect as long as there are others. A suspect
// endpoint that is due for a try comes back alone in `probeTarget`.
std::vector<UpstreamPointer> usableCandidates(const PlacementQuery& query,
    const std::vector<UpstreamPointer>& candidates, Instant now, UpstreamPointer& probeTarget);

} // namespace ragwortwinch
