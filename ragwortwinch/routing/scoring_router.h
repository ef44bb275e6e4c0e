// Chooses the endpoint with the lowest estimated delay: queueing, prefill of the tokens not in the cache, and
// network latency.
//
//     ScoringRouter router({ "north-cnx", "north" }, prefixes);
//
// Cache affinity counts as the prefill time that it saves, so it never outweighs a queue that takes longer.
// With the age of the report, the estimated delay by running requests grows, since newer load is not visible,
// and that by queued prefill shrinks, since the engine has continued to prefill. Thread-safe.
#pragma once

#include "ragwortwinch/routing/prefix_index.h"
#include "ragwortwinch/routing/router.h"

#include <memory>
#include <string>

namespace ragwortwinch {

struct ScoringOptions {
    // Location of this node.
    std::string availabilityZone;
    std::string region;
    // Assumed prefill throughput of an engine, in tokens per second.
    double prefillTokensPerSecond = 8000;
    // Delay that each running request adds to a new one, in milliseconds.
    double millisPerRunningRequest = 4;
    double crossZoneMillis = 1;
    double crossRegionMillis = 24;
    // Price of cross-region traffic, as a delay in milliseconds per thousand tokens.
    double crossRegionCostMillis = 10;
};

class ScoringRouter final : public Router {
public:
    // `prefixes` outlives the router.
    ScoringRouter(ScoringOptions options, PrefixIndex& prefixes);

    EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now) override;
    void onDispatched(const RouteQuery& query, EndpointState& endpoint) override;
    // Prompt tokens that the endpoint's cache does not hold, according to the prefix index.
    double uncachedTokens(const RouteQuery& query, const EndpointState& endpoint) const;
    // The estimated delay in milliseconds; lower is better.
    double score(const RouteQuery& query, const EndpointState& endpoint, Instant now) const;

private:
    ScoringOptions options_;
    PrefixIndex& prefixes_;
};

} // namespace ragwortwinch
