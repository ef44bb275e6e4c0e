// Applies updates from the store to a node in gateway mode: endpoints, VMs and the configuration.
#include "platform/store_values.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

namespace ragwortwinch {

void GatewayNode::tickStore(Instant now)
{
    runner_.run(follower_.tick(now),
        [this](Instant at, const StoreAnswer& answer) { return follower_.onAnswer(at, answer); });
    if (std::optional<WatchRequest> watch = follower_.takeWatch(now)) {
        ++watchCalls_;
        store_->watch(watch->prefix, watch->afterRevision, watch->wait, [this](WatchAnswer answer) {
            asio::post(context_, [this, answer = std::move(answer)] {
                follower_.onWatchAnswer(clock_.now(), answer);
                tickStore(clock_.now());
            });
        });
    }
    for (const FollowerUpdate& update : follower_.takeUpdates())
        onFollowerUpdate(now, update);
    if (endpoints_.tick(now)) {
        std::vector<EndpointRecord> records = endpoints_.records();
        forward_->setEndpoints(records, settings_.regions);
        duties_->setEndpoints(records);
        std::set<std::pair<std::string, std::int64_t>> registered;
        for (const EndpointRecord& record : records)
            registered.emplace(record.id, record.incarnation);
        quarantine_.onEndpoints(now, std::move(registered));
    }
}

void GatewayNode::onFollowerUpdate(Instant now, const FollowerUpdate& update)
{
    switch (update.kind) {
    case FollowerUpdate::Kind::StoreLost:
        endpoints_.onStoreLost();
        return;
    case FollowerUpdate::Kind::StoreRegained:
        endpoints_.onStoreRegained(now);
        return;
    case FollowerUpdate::Kind::List:
        if (update.prefix == vmKeyPrefix)
            onVmList(now, update.entries);
        else if (update.prefix == quarantineKeyPrefix)
            quarantine_.onStoreList(now, update.entries);
        else if (update.prefix == platform::endpointKeyPrefix()) {
            std::vector<EndpointRecord> records;
            for (const StoreEntry& entry : update.entries) {
                if (std::optional<EndpointRecord> record = platform::decodeEndpoint(entry.key, entry.value))
                    records.push_back(std::move(*record));
            }
            endpoints_.onList(now, records);
        } else {
            for (const StoreEntry& entry : update.entries) {
                if (entry.key == platform::configurationKey())
                    adoptConfig(entry.value, "store");
            }
        }
        return;
    case FollowerUpdate::Kind::Change:
        break;
    }
    const StoreEvent& event = update.event;
    if (event.key == platform::configurationKey()) {
        if (!event.isRemoval)
            adoptConfig(event.value, "store");
    } else if (event.key.starts_with(quarantineKeyPrefix)) {
        if (event.isRemoval)
            quarantine_.onStoreRemoval(now, event.key);
        else
            quarantine_.onStoreEntry(now, event.key);
    } else if (event.key.starts_with(vmKeyPrefix)) {
        std::string name = event.key.substr(std::string_view(vmKeyPrefix).size());
        if (event.isRemoval)
            storedVms_.erase(name);
        else if (std::optional<VmInfo> vm = decodeVmEntry(event.value))
            storedVms_[name] = *vm;
    } else if (event.isRemoval)
        endpoints_.onRemoved(now, event.key.substr(platform::endpointKeyPrefix().size()));
    else
        onEndpointEntry(now, event.key, event.value);
}

void GatewayNode::onVmList(Instant, const std::vector<StoreEntry>& entries)
{
    hasVmList_ = true;
    storedVms_.clear();
    for (const StoreEntry& entry : entries) {
        if (std::optional<VmInfo> vm = decodeVmEntry(entry.value))
            storedVms_[vm->name] = *vm;
    }
}

void GatewayNode::onEndpointEntry(Instant now, const std::string& key, const std::string& value)
{
    if (std::optional<EndpointRecord> record = platform::decodeEndpoint(key, value))
        endpoints_.onPut(now, *record);
    else
        LogEvent("endpoint.unreadable_entry", Severity::Warning).with("key", key).with("bytes", value.size());
}

void GatewayNode::adoptConfig(const std::string& text, const std::string& source)
{
    std::optional<TrafficConfig> config = platform::decodeTrafficConfig(text);
    if (!config) {
        LogEvent("config.unreadable", Severity::Error)
            .with("source", source)
            .with("bytes", text.size())
            .with("in_force", configVersion_);
        return;
    }
    if (config->version <= configVersion_)
        return;
    LogEvent("config.adopted")
        .with("version", config->version)
        .with("previous", configVersion_)
        .with("source", source)
        .with("routes", config->routes.size())
        .with("services", config->services.size())
        .with("teams", config->teams.size());
    configVersion_ = config->version;
    configText_ = text;
    duties_->setServices(config->services);
    std::shared_ptr<const TrafficTable> table = std::make_shared<TrafficTable>(std::move(*config));
    traffic_.replace(std::make_unique<std::shared_ptr<const TrafficTable>>(std::move(table)));
}

} // namespace ragwortwinch
