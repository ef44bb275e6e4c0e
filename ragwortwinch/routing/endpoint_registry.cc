#include "ragwortwinch/routing/endpoint_registry.h"

#include "ragwortwinch/base/log_event.h"

#include <utility>

namespace ragwortwinch {

void EndpointRegistry::onList(
    Instant now, const std::vector<EndpointRecord>& records, const std::set<std::string>& newerIds)
{
    std::set<std::string> listed;
    for (const EndpointRecord& record : records) {
        if (isOutdated(now, record))
            continue;
        listed.insert(record.id);
        onPut(now, record);
    }
    std::vector<std::string> missing;
    for (const auto& [id, record] : records_) {
        if (!listed.contains(id) && !newerIds.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        onRemoved(now, id);
    hasList_ = true;
}

bool EndpointRegistry::onPut(Instant now, const EndpointRecord& record)
{
    removalTimes_.erase(record.id);
    auto found = records_.find(record.id);
    if (found != records_.end() && found->second == record)
        return false;
    // A late write by an earlier incarnation.
    if (found != records_.end() && record.incarnation < found->second.incarnation)
        return false;
    // The copy may be older than the announcement that the endpoint leaves.
    bool isLeaving = now < outdatedUntil_ && found != records_.end() && found->second.isDraining
        && !record.isDraining && record.incarnation == found->second.incarnation;
    if (isLeaving)
        return false;
    LogEvent("endpoint.registered")
        .with("endpoint", record.id)
        .with("service", record.service)
        .with("address", record.address.text())
        .with("zone", record.availabilityZone)
        .with("role", engineRoleNames.name(record.role))
        .with("draining", record.isDraining)
        .with("reclaimable", record.isReclaimable)
        .with("incarnation", record.incarnation);
    records_[record.id] = record;
    isChanged_ = true;
    return true;
}

bool EndpointRegistry::onHeartbeat(const std::string& id)
{
    if (!records_.contains(id))
        return false;
    removalTimes_.erase(id);
    return true;
}

bool EndpointRegistry::holds(const EndpointRecord& record) const
{
    auto found = records_.find(record.id);
    return found != records_.end() && found->second == record;
}

void EndpointRegistry::onRemoved(Instant now, const std::string& id)
{
    if (!records_.contains(id))
        return;
    if (isRemovalDeferred(now)) {
        removalTimes_.try_emplace(id, graceEnd_);
        return;
    }
    remove(now, id);
}

void EndpointRegistry::remove(Instant now, const std::string& id)
{
    LogEvent("endpoint.gone").with("endpoint", id);
    departures_[id] = {records_.at(id).incarnation, now};
    records_.erase(id);
    removalTimes_.erase(id);
    isChanged_ = true;
}

void EndpointRegistry::onStoreLost() { isStoreLost_ = true; }

void EndpointRegistry::onStoreRegained(Instant now)
{
    isStoreLost_ = false;
    if (hasList_)
        graceEnd_ = now + reregistrationGrace;
    for (auto& [id, until] : removalTimes_)
        until = graceEnd_;
}

void EndpointRegistry::onStoreRestored(Instant now)
{
    onStoreRegained(now);
    outdatedUntil_ = now + reregistrationGrace;
}

bool EndpointRegistry::isOutdated(Instant now, const EndpointRecord& record) const
{
    auto departure = departures_.find(record.id);
    return now < outdatedUntil_ && departure != departures_.end()
        && record.incarnation <= departure->second.incarnation;
}

bool EndpointRegistry::tick(Instant now)
{
    std::erase_if(departures_, [now](const std::pair<const std::string, Departure>& entry) {
        return now - entry.second.at > departureMemory;
    });
    std::vector<std::string> gone;
    for (const auto& [id, until] : removalTimes_) {
        if (!isStoreLost_ && now >= until)
            gone.push_back(id);
    }
    for (const std::string& id : gone)
        remove(now, id);
    return std::exchange(isChanged_, false);
}

std::vector<EndpointRecord> EndpointRegistry::records() const
{
    std::vector<EndpointRecord> result;
    result.reserve(records_.size());
    for (const auto& [id, record] : records_)
        result.push_back(record);
    return result;
}

} // namespace ragwortwinch
