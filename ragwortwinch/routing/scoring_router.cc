#include "ragwortwinch/routing/scoring_router.h"

#include <algorithm>

namespace ragwortwinch {

ScoringRouter::ScoringRouter(ScoringOptions options, PrefixIndex& prefixes)
    : options_(std::move(options))
    , prefixes_(prefixes)
{
}

double ScoringRouter::uncachedTokens(const RouteQuery& query, const EndpointState& endpoint) const
{
    double cached = static_cast<double>(prefixes_.match(endpoint.name(), query.prefixes))
        * static_cast<double>(prefixBlockTokens);
    return std::max(0.0, static_cast<double>(query.promptTokens) - cached);
}

double ScoringRouter::score(const RouteQuery& query, const EndpointState& endpoint, Instant now) const
{
    double ageSeconds = std::clamp(static_cast<double>(endpoint.reportAge(now).count()) / 1000, 0.0, 10.0);
    // The engine has continued to prefill since the report.
    double queuedTokens = std::max(0.0,
        static_cast<double>(endpoint.queuedPrefillTokens()) - ageSeconds * options_.prefillTokensPerSecond);
    double prefillMillis
        = (uncachedTokens(query, endpoint) + queuedTokens) / options_.prefillTokensPerSecond * 1000;
    double queueMillis
        = static_cast<double>(endpoint.running()) * options_.millisPerRunningRequest * (1 + ageSeconds);
    double networkMillis = 0;
    if (endpoint.rule().region != options_.region) {
        double kilotokens = static_cast<double>(query.promptTokens + query.outputTokens) / 1000;
        networkMillis = options_.crossRegionMillis + options_.crossRegionCostMillis * kilotokens;
    } else if (endpoint.rule().availabilityZone != options_.availabilityZone)
        networkMillis = options_.crossZoneMillis;
    return prefillMillis + queueMillis + networkMillis;
}

EndpointPointer ScoringRouter::choose(const RouteQuery& query, const std::vector<EndpointPointer>& candidates,
    const Limits& limits, Instant now)
{
    EndpointPointer best;
    double bestScore = 0;
    for (const EndpointPointer& candidate : candidates) {
        if (!hasCapacity(*candidate, query, limits, now))
            continue;
        double candidateScore = score(query, *candidate, now);
        if (!best || candidateScore < bestScore) {
            best = candidate;
            bestScore = candidateScore;
        }
    }
    return best;
}

void ScoringRouter::onDispatched(const RouteQuery& query, EndpointState& endpoint)
{
    endpoint.addDispatchedPrefill(static_cast<std::int64_t>(uncachedTokens(query, endpoint)));
    prefixes_.add(endpoint.name(), query.prefixes);
}

} // namespace ragwortwinch
