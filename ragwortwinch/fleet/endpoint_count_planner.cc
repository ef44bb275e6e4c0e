#include "ragwortwinch/fleet/endpoint_count_planner.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>

namespace ragwortwinch {

std::vector<EndpointCountOrder> EndpointCountPlanner::tick(
    Instant now, const std::vector<ServiceRule>& services, const std::vector<EndpointRecord>& records)
{
    std::vector<EndpointCountOrder> orders;
    for (const ServiceRule& service : services) {
        if (!service.scaling)
            continue;
        const ScalingRule& rule = *service.scaling;
        bool usesReclaimable = rule.spotPriceRatio > 0 && rule.spotPriceRatio <= maxSpotPriceRatio;
        if (!usesReclaimable)
            continue;
        std::map<std::string, ZoneCounts> zones;
        for (const EndpointRecord& record : records) {
            if (record.service != service.name)
                continue;
            ZoneCounts& zone = zones[record.availabilityZone];
            if (!record.isDraining)
                ++(record.isReclaimable ? zone.reclaimable : zone.regular);
        }
        std::int64_t regularTarget = std::max<std::int64_t>(1, rule.minimumPerZone);
        std::int64_t reclaimableTarget = std::max<std::int64_t>(0, rule.maximumPerZone - regularTarget);
        for (const auto& [name, zone] : zones) {
            // Regular endpoints not yet released count towards the maximum, which both kinds share.
            std::int64_t remaining = std::max<std::int64_t>(0, rule.maximumPerZone - zone.regular);
            orderIfNeeded(now, {service.name, name, std::min(reclaimableTarget, remaining), true},
                zone.reclaimable, orders);
            // The regular endpoints to run when all reclaimable ones are lost.
            std::int64_t fallback = std::max(regularTarget, rule.maximumPerZone / 2);
            bool isReclaimableLost = zone.reclaimable == 0 && isReclaimableOrderAnswered(service.name, name);
            bool isReplaced = zone.reclaimable > 0 && zone.reclaimable >= zone.regular - regularTarget;
            if (zone.regular < fallback && isReclaimableLost)
                orderIfNeeded(now, {service.name, name, fallback, false}, zone.regular, orders);
            else if (zone.regular > regularTarget && isReplaced)
                orderIfNeeded(now, {service.name, name, regularTarget, false}, zone.regular, orders);
        }
    }
    return orders;
}

bool EndpointCountPlanner::isReclaimableOrderAnswered(
    const std::string& service, const std::string& zone) const
{
    auto found = orderStates_.find({service, zone, true});
    return found != orderStates_.end() && !found->second.isPending;
}

void EndpointCountPlanner::orderIfNeeded(Instant now, const EndpointCountOrder& wanted, std::int64_t present,
    std::vector<EndpointCountOrder>& orders)
{
    OrderState& state = orderStates_[{wanted.service, wanted.availabilityZone, wanted.isReclaimable}];
    bool isRepeat = state.appliedCount == wanted.count;
    if (state.isPending || (isRepeat && present == wanted.count))
        return;
    if ((isRepeat || state.hasFailed) && now < state.nextAttempt)
        return;
    state.isPending = true;
    orders.push_back(wanted);
}

void EndpointCountPlanner::onResult(Instant now, const EndpointCountOrder& order, SendOutcome outcome)
{
    OrderState& state = orderStates_[{order.service, order.availabilityZone, order.isReclaimable}];
    LogEvent("fleet.count_ordered")
        .with("service", order.service)
        .with("zone", order.availabilityZone)
        .with("count", order.count)
        .with("reclaimable", order.isReclaimable)
        .with("outcome", sendOutcomeNames.name(outcome));
    state.isPending = false;
    state.hasFailed = outcome != SendOutcome::Applied;
    if (outcome == SendOutcome::Applied)
        state.appliedCount = order.count;
    state.nextAttempt = now + (outcome == SendOutcome::Applied ? repeatDelay : retryDelay);
}

} // namespace ragwortwinch
