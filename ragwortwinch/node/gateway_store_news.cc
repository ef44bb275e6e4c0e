// Shares what a node in gateway mode reads from the store with the VMs of its availability zone.
#include "platform/endpoint_heartbeat.h"
#include "platform/store_values.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/membership/store_news.h"
#include "ragwortwinch/node/gateway_node.h"

namespace ragwortwinch {

namespace {

// Peers and the watch interval are determined at this interval.
constexpr Millis newsPeersInterval{500};
// VMs that a store turns away when all start together return at different times.
constexpr Millis retrySpread{250};

} // namespace

std::set<std::string> GatewayNode::knownVms() const
{
    std::set<std::string> vms = livePeers();
    vms.insert(settings_.node);
    for (const auto& [name, vm] : storedVms_)
        vms.insert(name);
    return vms;
}

double GatewayNode::randomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void GatewayNode::tickStoreNews(Instant now)
{
    if (!settings_.sharesStoreReads || now < nextNewsPeers_)
        return;
    nextNewsPeers_ = now + newsPeersInterval;
    follower_.setRetryDelay(
        FollowerOptions{}.retryDelay + std::chrono::duration_cast<Millis>(retrySpread * randomFraction()));
    newsPeers_.clear();
    std::size_t readers = 1;
    for (const std::string& name : livePeers()) {
        bool isOfZone = vms_.entries().at(name).info.availabilityZone == settings_.availabilityZone;
        if (!isOfZone || !links_.takesStoreNews(name))
            continue;
        newsPeers_.push_back(name);
        readers += peersWithoutStore_.contains(name) ? 0 : 1;
    }
    std::size_t vmCount = knownVms().size();
    bool wasShared = watchInterval_.isShared();
    bool isChanged = watchInterval_.update(vmCount, readers);
    if (!watchInterval_.isShared())
        newsSender_.clear();
    if (!isChanged && wasShared == watchInterval_.isShared())
        return;
    follower_.setMinWatchInterval(watchInterval_.next(randomFraction()));
    follower_.watchWithin(watchInterval_.base());
    newsMetrics_.setWatchInterval(watchInterval_.base());
    LogEvent("store.watch_interval")
        .with("ms", watchInterval_.base().count())
        .with("shared", watchInterval_.isShared())
        .with("vms", vmCount)
        .with("zone_readers", readers);
}

void GatewayNode::sendStoreNews(Instant now)
{
    if (!watchInterval_.isShared())
        return;
    std::vector<StoreEvent> changes = newsSender_.take(now, newsPeers_.size());
    if (changes.empty())
        return;
    std::string frame = encodeStoreNews({runner_.era().current(), changes});
    std::size_t frames = 0;
    for (const std::string& peer : newsPeers_)
        frames += links_.send(peer, frame) ? 1 : 0;
    newsMetrics_.onSent(changes.size() * frames, frames, frames * frame.size());
}

void GatewayNode::onStoreNews(Instant now, const std::string& peer, const std::string& payload)
{
    std::optional<StoreNews> news = decodeStoreNews(payload);
    if (!news) {
        LogEvent("peer.bad_message", Severity::Warning)
            .with("peer", peer)
            .with("kind", "store_news")
            .with("bytes", payload.size());
        return;
    }
    // The own store's answers come first, in the order in which they arrived.
    applyStoreUpdates(now);
    std::size_t firstHeard = 0;
    for (const StoreEvent& change : news->changes) {
        if (news->era == runner_.era().current())
            newsSender_.onPeerChange(change);
        if (!newsReceiver_.acceptFromPeer(news->era, change))
            continue;
        ++firstHeard;
        onSharedChange(now, change);
    }
    newsMetrics_.onReceived(news->changes.size(), firstHeard);
    publishEndpoints(now);
}

void GatewayNode::onSharedList(Instant now, const FollowerUpdate& update)
{
    StoreNewsReceiver::NewerList list = newsReceiver_.onList(update.prefix, update.entries, update.revision);
    if (update.prefix == quarantineKeyPrefix) {
        // Only the keys count here.
        for (const std::string& key : list.newerKeys)
            list.entries.push_back({key, {}, 0});
        quarantine_.onStoreList(now, list.entries);
        return;
    }
    std::vector<EndpointRecord> records;
    for (const StoreEntry& entry : list.entries) {
        if (std::optional<EndpointRecord> record = platform::decodeEndpoint(entry.key, entry.value))
            records.push_back(std::move(*record));
    }
    std::set<std::string> newerIds;
    for (const std::string& key : list.newerKeys)
        newerIds.insert(key.substr(update.prefix.size()));
    endpointValues_.clear();
    endpoints_.onList(now, records, newerIds);
}

bool GatewayNode::onSharedChange(Instant now, const StoreEvent& event)
{
    if (event.key.starts_with(quarantineKeyPrefix)) {
        if (event.isRemoval)
            quarantine_.onStoreRemoval(now, event.key);
        else
            quarantine_.onStoreEntry(now, event.key);
        return true;
    }
    if (!event.isRemoval)
        return onEndpointEntry(now, event.key, event.value);
    std::string id = event.key.substr(platform::endpointKeyPrefix().size());
    endpointValues_.erase(id);
    std::size_t former = endpoints_.size();
    endpoints_.onRemoved(now, id);
    // A deferred removal is no news: each VM decides about it by its own contact with the store.
    return endpoints_.size() < former;
}

bool GatewayNode::onEndpointEntry(Instant now, const std::string& key, const std::string& value)
{
    std::string id = key.substr(platform::endpointKeyPrefix().size());
    auto known = endpointValues_.find(id);
    bool isHeartbeat = known != endpointValues_.end() && platform::isSameRegistration(known->second, value);
    if (isHeartbeat && endpoints_.onHeartbeat(id))
        return false;
    std::optional<EndpointRecord> record = platform::decodeEndpoint(key, value);
    if (!record) {
        LogEvent("endpoint.unreadable_entry", Severity::Warning).with("key", key).with("bytes", value.size());
        return false;
    }
    bool isChanged = endpoints_.onPut(now, *record);
    if (endpoints_.holds(*record))
        endpointValues_[id] = value;
    else
        endpointValues_.erase(id);
    return isChanged;
}

} // namespace ragwortwinch
