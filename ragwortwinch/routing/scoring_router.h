// Chooses by estimated delay: queue before the request, prefill that the cache saves, and the way there.
//
//     ScoringRouter router({ "north-cnx", "north" }, prefixes);
//
// Affinity is worth the prefill time it saves and no more, so it never wins over an endpoint whose queue is
// longer than that. An old report widens the doubt: load that cannot be seen counts as more. Thread-safe.
#pragma once

#include "ragwortwinch/routing/prefix_index.h"
#include "ragwortwinch/routing/router.h"

#include <memory>
#include <string>

namespace ragwortwinch {

struct ScoringOptions {
    std::string availabilityZone;
    std::string region;
    // What an engine does when nothing better is known, in tokens a second.
    double prefillRate = 8000;
    // Delay that one running request adds to another, in milliseconds.
    double runningMillis = 4;
    double zoneMillis = 1;
    double regionMillis = 24;
    // The price of cross-region bytes, as a delay in milliseconds for each thousand tokens.
    double regionPriceMillis = 10;
};

class ScoringRouter final : public Router {
public:
    // `prefixes` outlives the router.
    ScoringRouter(ScoringOptions options, PrefixIndex& prefixes);

    EndpointPointer choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
        const Limits& limits, Instant now) override;
    void onDispatched(const RouteQuery& query, EndpointState& endpoint) override;
    // Prompt tokens that the endpoint's cache does not hold, as far as known.
    double uncachedTokens(const RouteQuery& query, const EndpointState& endpoint) const;
    // The estimated delay in milliseconds; lower is better.
    double score(const RouteQuery& query, const EndpointState& endpoint, Instant now) const;

private:
    ScoringOptions options_;
    PrefixIndex& prefixes_;
};

} // namespace ragwortwinch
