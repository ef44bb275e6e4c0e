// Chooses the endpoint for one request.
//
//     std::unique_ptr<Router> router = std::make_unique<ScoringRouter>(options, prefixes);
//     EndpointPointer endpoint = router->choose(query, candidates, limits, now);
#pragma once

#include "ragwortwinch/routing/endpoint_state.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

struct RouteQuery {
    std::string service;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    // Hashes of the prompt's prefixes, shortest first.
    std::vector<std::uint64_t> prefixes;
    // Names of endpoints that this request has already tried.
    std::set<std::string> excluded;

    std::int64_t kvBlocks(std::int64_t tokensPerKvBlock) const
    {
        return (promptTokens + outputTokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
    }
};

class Router {
public:
    virtual ~Router() = default;
    // Returns null if no candidate has capacity. Thread-safe.
    virtual EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now)
        = 0;
    // Called after each dispatch, to track the endpoint's prefill queue and what its cache will hold.
    virtual void onDispatched(const RouteQuery&, EndpointState&) { }
};

// Whether the endpoint is of the query's service, not excluded, usable, and has capacity for the query.
bool hasCapacity(const EndpointState& endpoint, const RouteQuery& query, const Limits& limits, Instant now);

// Baseline for comparison: chooses the endpoint with the fewest running requests, regardless of location
// and cache.
class LeastLoadedRouter final : public Router {
public:
    EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now) override;
};

} // namespace ragwortwinch
