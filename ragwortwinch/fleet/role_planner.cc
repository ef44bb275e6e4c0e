#include "ragwortwinch/fleet/role_planner.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>
#include <tuple>

namespace ragwortwinch {

std::vector<RoleOrder> RolePlanner::tick(Instant now, const std::vector<EndpointRecord>& records)
{
    std::erase_if(
        cooldownEnds_, [now](const std::pair<const std::pair<std::string, std::int64_t>, Instant>& entry) {
            return now >= entry.second;
        });
    std::map<std::pair<std::string, std::string>, std::vector<EndpointRecord>> zones;
    for (const EndpointRecord& record : records) {
        if (record.role != EngineRole::None && !record.isDraining)
            zones[{record.service, record.availabilityZone}].push_back(record);
    }
    std::vector<RoleOrder> orders;
    for (auto& [zone, engines] : zones)
        planZone(now, std::move(engines), orders);
    return orders;
}

void RolePlanner::planZone(Instant now, std::vector<EndpointRecord> engines, std::vector<RoleOrder>& orders)
{
    std::size_t targetDecoders = (engines.size() + enginesPerDecoder - 1) / enginesPerDecoder;
    // Engines that can't be reclaimed come first, and among them those that decode already.
    std::sort(engines.begin(), engines.end(), [](const EndpointRecord& left, const EndpointRecord& right) {
        auto rank = [](const EndpointRecord& engine) {
            return std::make_tuple(engine.isReclaimable, engine.role != EngineRole::Decode, engine.id);
        };
        return rank(left) < rank(right);
    });
    std::size_t stableDecoders = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
        [](const EndpointRecord& engine) { return engine.role == EngineRole::Decode; }));
    std::size_t changing = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
        [&](const EndpointRecord& engine) { return isInCooldown(now, engine); }));
    // Engines that are changing role, or may be, are not stable.
    stableDecoders -= std::min(stableDecoders,
        static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(), [&](const EndpointRecord& engine) {
                return engine.role == EngineRole::Decode && isInCooldown(now, engine);
            })));
    for (std::size_t index = 0; index < engines.size(); ++index) {
        EngineRole wanted = index < targetDecoders ? EngineRole::Decode : EngineRole::Prefill;
        const EndpointRecord& engine = engines[index];
        if (engine.role == wanted || isInCooldown(now, engine))
            continue;
        // A decoder changes only while enough others remain. At most half of a zone's engines, but at
        // least one, may change at once.
        bool isNeeded = wanted == EngineRole::Prefill && stableDecoders <= targetDecoders;
        bool areTooManyChanging = changing > 0 && (changing + 1) * 2 > engines.size();
        if (isNeeded || areTooManyChanging)
            continue;
        stableDecoders -= wanted == EngineRole::Prefill ? 1 : 0;
        ++changing;
        cooldownEnds_[{engine.id, engine.incarnation}] = now + roleChangeCooldown;
        orders.push_back({engine, wanted});
    }
}

bool RolePlanner::isInCooldown(Instant now, const EndpointRecord& engine) const
{
    auto found = cooldownEnds_.find({engine.id, engine.incarnation});
    return found != cooldownEnds_.end() && now < found->second;
}

void RolePlanner::onResult(Instant now, const RoleOrder& order, SendOutcome outcome)
{
    LogEvent("fleet.role_ordered")
        .with("endpoint", order.engine.id)
        .with("zone", order.engine.availabilityZone)
        .with("role", engineRoleNames.name(order.role))
        .with("outcome", sendOutcomeNames.name(outcome));
    if (outcome == SendOutcome::Unknown)
        cooldownEnds_[{order.engine.id, order.engine.incarnation}] = now + unknownOutcomeCooldown;
}

} // namespace ragwortwinch
