// Chooses the endpoint for one request.
//
//     std::unique_ptr<Router> router = std::make_unique<ScoringRouter>(zone, region, prefixes);
//     EndpointPointer endpoint = router->choose(query, candidates, now);
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
    // Hashes of the prompt's growing prefixes, shortest first.
    std::vector<std::uint64_t> prefixes;
    // Names of endpoints that this request has tried.
    std::set<std::string> excluded;

    std::int64_t kvBlocks(std::int64_t tokensPerKvBlock) const
    {
        return (promptTokens + outputTokens + tokensPerKvBlock - 1) / tokensPerKvBlock;
    }
};

class Router {
public:
    virtual ~Router() = default;
    // Returns null when no candidate has room. Thread-safe.
    virtual EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now)
        = 0;
    // Told of each dispatch, to learn what the endpoint's cache will hold.
    virtual void onDispatched(const RouteQuery&, EndpointState&) { }
};

// True when the endpoint is usable and has room for the query.
bool hasRoom(const EndpointState& endpoint, const RouteQuery& query, const Limits& limits, Instant now);

// The simplest rival: the fewest running requests, wherever they are.
class LeastLoadedRouter final : public Router {
public:
    EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now) override;
};

} // namespace ragwortwinch
