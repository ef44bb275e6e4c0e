#include "ragwortwinch/placement/endpoint_chooser.h"

#include "ragwortwinch/placement/internal/rendezvous.h"

#include <algorithm>
#include <limits>

namespace ragwortwinch {

namespace {

// An endpoint is skipped despite affinity when it runs more requests than loadFactor * mean of its group +
// loadMargin.
constexpr double loadFactor = 1.5;
constexpr double loadMargin = 3;

double occupancy(const UpstreamEndpoint& endpoint)
{
    return static_cast<double>(endpoint.load())
        / static_cast<double>(std::max<std::int64_t>(1, endpoint.record.slots));
}

double meanLoad(const std::vector<UpstreamPointer>& group)
{
    double sum = 0;
    for (const UpstreamPointer& endpoint : group)
        sum += static_cast<double>(endpoint->load());
    return sum / static_cast<double>(group.size());
}

UpstreamPointer leastLoaded(const std::vector<UpstreamPointer>& group, std::uint64_t searchStart)
{
    UpstreamPointer best;
    double bestLoad = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < group.size(); ++index) {
        const UpstreamPointer& endpoint = group[(index + searchStart) % group.size()];
        double load = occupancy(*endpoint);
        if (load < bestLoad) {
            bestLoad = load;
            best = endpoint;
        }
    }
    return best;
}

UpstreamPointer chooseByAffinity(const std::vector<UpstreamPointer>& group, const PlacementQuery& query)
{
    std::vector<std::pair<std::uint64_t, UpstreamPointer>> ranked;
    ranked.reserve(group.size());
    for (const UpstreamPointer& endpoint : group)
        ranked.emplace_back(internal::rendezvousWeight(query.affinity, endpoint->record.id), endpoint);
    std::sort(ranked.begin(), ranked.end(),
        [](const std::pair<std::uint64_t, UpstreamPointer>& left,
            const std::pair<std::uint64_t, UpstreamPointer>& right) { return left.first > right.first; });
    double bound = meanLoad(group) * loadFactor + loadMargin;
    for (const std::pair<std::uint64_t, UpstreamPointer>& candidate : ranked) {
        if (static_cast<double>(candidate.second->load()) <= bound)
            return candidate.second;
    }
    return leastLoaded(group, query.searchStart);
}

} // namespace

Distance distanceOf(const PlacementQuery& query, const UpstreamEndpoint& endpoint)
{
    if (endpoint.record.availabilityZone == query.availabilityZone)
        return Distance::SameZone;
    return endpoint.region == query.region ? Distance::SameRegion : Distance::OtherRegion;
}

std::vector<UpstreamPointer> usableCandidates(const PlacementQuery& query,
    const std::vector<UpstreamPointer>& candidates, Instant now, UpstreamPointer& probeTarget)
{
    std::vector<UpstreamPointer> healthy;
    std::vector<UpstreamPointer> avoided;
    for (const UpstreamPointer& endpoint : candidates) {
        bool isExcluded
            = std::find(query.excluded.begin(), query.excluded.end(), endpoint.get()) != query.excluded.end();
        if (isExcluded || !endpoint->isUsable() || !endpoint->limit.mayTake(now)
            || !endpoint->notices.maySend(now))
            continue;
        bool isBackingOff = endpoint->outcomes.isBackingOff(now);
        if (!isBackingOff && !endpoint->outcomes.isSuspect()) {
            healthy.push_back(endpoint);
            continue;
        }
        avoided.push_back(endpoint);
        if (!isBackingOff && !probeTarget && query.mayProbe && endpoint->outcomes.tryTakeProbe(now))
            probeTarget = endpoint;
    }
    if (!healthy.empty())
        return healthy;
    probeTarget = nullptr;
    return avoided;
}

std::optional<Instant> earliestReturn(const std::vector<UpstreamPointer>& endpoints, Instant now)
{
    std::optional<Instant> earliest;
    for (const UpstreamPointer& endpoint : endpoints) {
        if (!endpoint->isUsable() || endpoint->notices.isLeaving())
            continue;
        if (!endpoint->notices.isPaused(now))
            return std::nullopt;
        earliest = std::min(earliest.value_or(Instant::max()), endpoint->notices.pausedUntil());
    }
    return earliest;
}

UpstreamPointer LeastLoadedChooser::choose(
    const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now)
{
    UpstreamPointer probeTarget;
    std::vector<UpstreamPointer> usable = usableCandidates(query, candidates, now, probeTarget);
    if (probeTarget)
        return probeTarget;
    return usable.empty() ? nullptr : leastLoaded(usable, query.searchStart);
}

UpstreamPointer AffinityChooser::choose(
    const PlacementQuery& query, const std::vector<UpstreamPointer>& candidates, Instant now)
{
    UpstreamPointer probeTarget;
    std::vector<UpstreamPointer> usable = usableCandidates(query, candidates, now, probeTarget);
    if (probeTarget)
        return probeTarget;
    if (usable.empty())
        return nullptr;
    for (Distance distance : {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        std::vector<UpstreamPointer> group;
        for (const UpstreamPointer& endpoint : usable) {
            if (distanceOf(query, *endpoint) == distance && occupancy(*endpoint) < query.spillOccupancy)
                group.push_back(endpoint);
        }
        if (!group.empty())
            return query.affinity ? chooseByAffinity(group, query) : leastLoaded(group, query.searchStart);
    }
    return leastLoaded(usable, query.searchStart);
}

} // namespace ragwortwinch
