#include "ragwortwinch/placement/slot_reserve.h"

#include "ragwortwinch/placement/internal/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace ragwortwinch {

namespace {

// The key by which all VMs rank the engines.
constexpr std::uint64_t reserveKey = 0x5107;

double decay(Millis age)
{
    return std::exp(
        -static_cast<double>(age.count()) / static_cast<double>(DemandSlotReserve::memory.count()));
}

} // namespace

void DemandSlotReserve::onRequest(const std::string& service, int priority, Instant now)
{
    Demand& demand = demands_[{service, priority}];
    demand.requests = demand.requests * decay(now - demand.lastRequest) + 1;
    demand.lastRequest = now;
}

void DemandSlotReserve::onServed(const std::string& service, int priority, Millis taken, Instant)
{
    Demand& demand = demands_[{service, priority}];
    double millis = static_cast<double>(taken.count());
    demand.servedMillis = demand.servedMillis > 0
        ? demand.servedMillis + (millis - demand.servedMillis) * sampleWeight
        : millis;
}

double DemandSlotReserve::slots(const std::string& service, int priority, Instant now) const
{
    double mean = 0;
    for (auto demand = demands_.lower_bound({service, std::numeric_limits<int>::min()});
         demand != demands_.end() && demand->first.first == service && demand->first.second < priority;
         ++demand) {
        Millis silence = now - demand->second.lastRequest;
        if (silence <= maxSilence)
            mean += demand->second.requests * decay(silence) * demand->second.servedMillis
                / static_cast<double>(memory.count());
    }
    mean *= vmCount_;
    return mean > 0 ? mean + fluctuation * std::sqrt(mean) : 0;
}

bool DemandSlotReserve::hasLessUrgent(const std::string& service, int priority, Instant now) const
{
    for (auto demand = demands_.upper_bound({service, priority});
         demand != demands_.end() && demand->first.first == service; ++demand) {
        if (now - demand->second.lastRequest <= maxSilence)
            return true;
    }
    return false;
}

std::vector<const UpstreamEndpoint*> enginesInReserve(
    const std::vector<UpstreamPointer>& engines, double reservedSlots)
{
    std::vector<const UpstreamEndpoint*> reserved;
    // The mean can't reach the bound if no engine does. This spares VMs with room at the engines the ranking.
    bool isAnyFull = std::any_of(engines.begin(), engines.end(), [](const UpstreamPointer& engine) {
        return static_cast<double>(engine->load())
            >= minReserveOccupancy * static_cast<double>(engine->record.slots);
    });
    if (reservedSlots <= 0 || !isAnyFull)
        return reserved;
    using RankedEngine = std::pair<std::uint64_t, const UpstreamEndpoint*>;
    std::map<std::string, std::vector<RankedEngine>> zones;
    std::size_t count = 0;
    for (const UpstreamPointer& engine : engines) {
        if (!engine->isUsable() || engine->record.role == EngineRole::Prefill)
            continue;
        zones[engine->record.availabilityZone].emplace_back(
            internal::rendezvousWeight(reserveKey, engine->record.id), engine.get());
        ++count;
    }
    std::int64_t otherRunning = 0;
    std::int64_t otherSlots = 0;
    for (auto& [zone, ranked] : zones) {
        std::sort(ranked.begin(), ranked.end(), std::greater<>());
        double share = reservedSlots * static_cast<double>(ranked.size()) / static_cast<double>(count);
        for (std::size_t index = 0; index < ranked.size(); ++index) {
            const UpstreamEndpoint* engine = ranked[index].second;
            double slots = static_cast<double>(std::max<std::int64_t>(1, engine->record.slots));
            // Less than half an engine is left out, except for the first.
            bool isNeeded = index == 0 ? share > 0 : share >= slots / 2;
            if (isNeeded && index < ranked.size() / 2) {
                reserved.push_back(engine);
                share -= slots;
                continue;
            }
            share = 0;
            otherRunning += engine->load();
            otherSlots += engine->record.slots;
        }
    }
    bool isInForce
        = static_cast<double>(otherRunning) >= minReserveOccupancy * static_cast<double>(otherSlots);
    return isInForce ? reserved : std::vector<const UpstreamEndpoint*>();
}

} // namespace ragwortwinch
