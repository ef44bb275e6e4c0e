#include "ragwortwinch/placement/endpoint_chooser.h"

#include "ragwortwinch/placement/internal/rendezvous.h"

#include "ragwortwinch/placement/slot_reserve.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>

namespace ragwortwinch {

namespace {

// An endpoint is skipped despite affinity when it runs more requests than loadFactor * mean of its group +
// loadMargin.
constexpr double loadFactor = 1.5;
constexpr double loadMargin = 3;

const ExpectedTimePenalty expectedTimePenalty;

double occupancy(const UpstreamEndpoint& endpoint)
{
    return static_cast<double>(endpoint.load())
        / static_cast<double>(std::max<std::int64_t>(1, endpoint.record.slots));
}

// By how much fuller engines count than they are; 0 for those that are missing.
using Penalties = std::map<const UpstreamEndpoint*, double>;

double occupancy(const UpstreamEndpoint& endpoint, const Penalties& penalties)
{
    auto found = penalties.find(&endpoint);
    return occupancy(endpoint) + (found == penalties.end() ? 0 : found->second);
}

double meanLoad(const std::vector<UpstreamPointer>& group)
{
    double sum = 0;
    for (const UpstreamPointer& endpoint : group)
        sum += static_cast<double>(endpoint->load());
    return sum / static_cast<double>(group.size());
}

UpstreamPointer leastLoaded(
    const std::vector<UpstreamPointer>& group, std::uint64_t searchStart, const Penalties& penalties = {})
{
    UpstreamPointer best;
    double bestLoad = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < group.size(); ++index) {
        const UpstreamPointer& endpoint = group[(index + searchStart) % group.size()];
        double load = occupancy(*endpoint, penalties);
        if (load < bestLoad) {
            bestLoad = load;
            best = endpoint;
        }
    }
    return best;
}

UpstreamPointer chooseByAffinity(
    const std::vector<UpstreamPointer>& group, const PlacementQuery& query, const Penalties& penalties)
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
        // A prompt that is cached saves less time than a slow engine costs.
        if (!penalties.contains(candidate.second.get())
            && static_cast<double>(candidate.second->load()) <= bound)
            return candidate.second;
    }
    return leastLoaded(group, query.searchStart, penalties);
}

Penalties decodePenalties(const std::vector<UpstreamPointer>& engines, const PlacementQuery& query,
    const DecodePenalty& policy, Instant now)
{
    Penalties penalties;
    if (!query.prefersFastDecode)
        return penalties;
    std::optional<double> sound = soundTokenMillis(engines, now);
    if (!sound)
        return penalties;
    for (const UpstreamPointer& engine : engines) {
        double penalty = policy.occupancy(*engine, *sound, now);
        if (penalty > 0)
            penalties.emplace(engine.get(), penalty);
    }
    return penalties;
}

// Returns the endpoints for which `isPreferred`, or all if it holds for none.
template <typename Predicate>
std::vector<UpstreamPointer> preferred(const std::vector<UpstreamPointer>& group, Predicate isPreferred)
{
    std::vector<UpstreamPointer> result;
    std::copy_if(group.begin(), group.end(), std::back_inserter(result),
        [&](const UpstreamPointer& endpoint) { return isPreferred(*endpoint); });
    return result.empty() ? group : result;
}

// Returns the candidates without the engines that are left to more urgent requests, unless there are no
// others.
std::vector<UpstreamPointer> withoutReserve(const std::vector<UpstreamPointer>& usable,
    const std::vector<UpstreamPointer>& candidates, const PlacementQuery& query)
{
    std::vector<const UpstreamEndpoint*> reserved = enginesInReserve(candidates, query.reservedSlots);
    if (reserved.empty())
        return usable;
    return preferred(usable, [&](const UpstreamEndpoint& endpoint) {
        return std::find(reserved.begin(), reserved.end(), &endpoint) == reserved.end();
    });
}

// Returns the engines that less urgent requests leave to this one and that have a free slot. The others may
// look emptier, but get requests of other VMs that this VM doesn't know of yet.
std::vector<UpstreamPointer> leftByOthers(const std::vector<UpstreamPointer>& usable,
    const std::vector<UpstreamPointer>& candidates, const PlacementQuery& query)
{
    std::vector<const UpstreamEndpoint*> left = enginesInReserve(candidates, query.slotsLeftByOthers);
    std::vector<UpstreamPointer> result;
    for (const UpstreamPointer& endpoint : usable) {
        if (endpoint->load() < endpoint->record.slots
            && std::find(left.begin(), left.end(), endpoint.get()) != left.end())
            result.push_back(endpoint);
    }
    return result;
}

std::vector<UpstreamPointer> withoutLongPrompts(
    const std::vector<UpstreamPointer>& group, const PlacementQuery& query)
{
    if (!query.avoidsLongPrompts)
        return group;
    return preferred(group, [](const UpstreamEndpoint& endpoint) {
        return endpoint.engineLoad.pendingTokens(PromptPriority::Late) == 0;
    });
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
    if (usable.empty())
        return nullptr;
    usable = withoutReserve(usable, candidates, query);
    return leastLoaded(withoutLongPrompts(usable, query), query.searchStart);
}

AffinityChooser::AffinityChooser()
    : penalty_(expectedTimePenalty)
{
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
    usable = withoutReserve(usable, candidates, query);
    Penalties penalties = decodePenalties(usable, query, penalty_, now);
    std::vector<UpstreamPointer> left = leftByOthers(usable, candidates, query);
    // KV transfers stay in their zone, and one in another region takes longer than a slot is waited for.
    Distance farthest = query.spillOccupancy < neverSpill ? Distance::SameRegion : Distance::SameZone;
    for (Distance distance : {Distance::SameZone, Distance::SameRegion}) {
        std::vector<UpstreamPointer> group;
        for (const UpstreamPointer& endpoint : left) {
            if (distance <= farthest && distanceOf(query, *endpoint) == distance
                && !penalties.contains(endpoint.get()))
                group.push_back(endpoint);
        }
        if (!group.empty())
            return leastLoaded(withoutLongPrompts(group, query), query.searchStart, penalties);
    }
    for (Distance distance : {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        std::vector<UpstreamPointer> group;
        for (const UpstreamPointer& endpoint : usable) {
            if (distanceOf(query, *endpoint) == distance
                && occupancy(*endpoint, penalties) < query.spillOccupancy)
                group.push_back(endpoint);
        }
        if (group.empty())
            continue;
        group = withoutLongPrompts(group, query);
        return query.affinity ? chooseByAffinity(group, query, penalties)
                              : leastLoaded(group, query.searchStart, penalties);
    }
    return leastLoaded(withoutLongPrompts(usable, query), query.searchStart, penalties);
}

} // namespace ragwortwinch
