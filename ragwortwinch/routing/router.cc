#include "ragwortwinch/routing/router.h"

namespace ragwortwinch {

bool hasRoom(const EndpointState& endpoint, const RouteQuery& query, const Limits& limits, Instant now)
{
    if (endpoint.rule().service != query.service || query.excluded.contains(endpoint.name()))
        return false;
    if (!endpoint.isUsable(now, limits.endpointStateBound))
        return false;
    if (!endpoint.isEngine())
        return endpoint.running() < endpoint.rule().slots;
    return endpoint.kvBlocksUsed() + query.kvBlocks(limits.tokensPerKvBlock)
        <= endpoint.kvBlocksTotal(limits.kvBlocksPerEngine);
}

EndpointPointer LeastLoadedRouter::choose(const RouteQuery& query,
    const std::vector<EndpointPointer>& candidates, const Limits& limits, Instant now)
{
    EndpointPointer best;
    for (const EndpointPointer& candidate : candidates) {
        if (hasRoom(*candidate, query, limits, now) && (!best || candidate->running() < best->running()))
            best = candidate;
    }
    return best;
}

} // namespace ragwortwinch
