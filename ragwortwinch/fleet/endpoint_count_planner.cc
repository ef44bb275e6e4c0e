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
        bool usesReclaimable = rule.spotPrice > 0 && rule.spotPrice <= highestSpotPrice;
        if (!usesReclaimable)
            continue;
        std::map<std::string, ZoneState> zones;
        for (const EndpointRecord& record : records) {
            if (record.service != service.name)
                continue;
            ZoneState& zone = zones[record.availabilityZone];
            if (!record.isDraining)
                ++(record.isReclaimable ? zone.reclaimable : zone.regular);
        }
        std::int64_t regularTarget = std::max<std::int64_t>(1, rule.minimumPerZone);
        std::int64_t reclaimableTarget = std::max<std::int64_t>(0, rule.maximumPerZone - regularTarget);
        for (const auto& [name, zone] : zones) {
            // Both kinds together stay within the limit while regular ones are still there.
            std::int64_t room = std::max<std::int64_t>(0, rule.maximumPerZone - zone.regular);
            consider(
                now, {service.name, name, std::min(reclaimableTarget, room), true}, zone.reclaimable, orders);
            std::int64_t fallback = std::max(regularTarget, rule.maximumPerZone / 2);
            bool areReclaimed = zone.reclaimable == 0 && wasOrdered(service.name, name);
            bool isReplaced = zone.reclaimable > 0 && zone.reclaimable >= zone.regular - regularTarget;
            if (zone.regular < fallback && areReclaimed)
                consider(now, {service.name, name, fallback, false}, zone.regular, orders);
            else if (zone.regular > regularTarget && isReplaced)
                consider(now, {service.name, name, regularTarget, false}, zone.regular, orders);
        }
    }
    return orders;
}

bool EndpointCountPlanner::wasOrdered(const std::string& service, const std::string& zone) const
{
    auto found = subjects_.find({service, zone, true});
    return found != subjects_.end() && !found->second.isUnderWay;
}

void EndpointCountPlanner::consider(Instant now, const EndpointCountOrder& wanted, std::int64_t present,
    std::vector<EndpointCountOrder>& orders)
{
    Subject& subject = subjects_[{wanted.service, wanted.availabilityZone, wanted.isReclaimable}];
    bool isRepeat = subject.ordered == wanted.count;
    if (subject.isUnderWay || (isRepeat && present == wanted.count))
        return;
    if ((isRepeat || subject.hasFailed) && now < subject.nextTry)
        return;
    subject.isUnderWay = true;
    orders.push_back(wanted);
}

void EndpointCountPlanner::onResult(Instant now, const EndpointCountOrder& order, SendOutcome outcome)
{
    Subject& subject = subjects_[{order.service, order.availabilityZone, order.isReclaimable}];
    LogEvent("fleet.count_ordered")
        .with("service", order.service)
        .with("zone", order.availabilityZone)
        .with("count", order.count)
        .with("reclaimable", order.isReclaimable)
        .with("outcome", sendOutcomeNames.name(outcome));
    subject.isUnderWay = false;
    subject.hasFailed = outcome != SendOutcome::Applied;
    if (outcome == SendOutcome::Applied)
        subject.ordered = order.count;
    subject.nextTry = now + (outcome == SendOutcome::Applied ? repairPause : retryPause);
}

} // namespace ragwortwinch
