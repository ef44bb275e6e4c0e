// Applies updates from the store to a node in gateway mode: endpoints, VMs and the configuration.
#include "platform/config_inspection.h"
#include "platform/store_values.h"
#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// The endpoints are passed on as a whole. Peers' changes arrive one by one in large deployments; with 20
// changes a second and 3,000 endpoints that would be 60,000 records a second.
constexpr Millis publicationInterval{100};

} // namespace

void GatewayNode::tickStore(Instant now)
{
    runner_.run(follower_.tick(now),
        [this](Instant at, const StoreAnswer& answer) { return follower_.onAnswer(at, answer); });
    if (std::optional<WatchRequest> watch = follower_.takeWatch(now)) {
        follower_.setMinWatchInterval(watchInterval_.next(randomFraction()));
        ++watchCalls_;
        newsMetrics_.onWatch();
        std::optional<std::uint64_t> sentIn = runner_.era().current();
        store_->watch(watch->prefix, watch->afterRevision, watch->wait,
            [this, id = watch->id, sentIn](WatchAnswer answer) {
                asio::post(context_, [this, id, sentIn, answer = std::move(answer)]() mutable {
                    bool isNoAnswer = answer.status == WatchStatus::Unavailable && !answer.era;
                    if (!isNoAnswer && !runner_.checkEra(sentIn, answer.era))
                        answer = {};
                    follower_.onWatchAnswer(clock_.now(), id, answer);
                    tickStore(clock_.now());
                });
            });
    }
    applyStoreUpdates(now);
    publishEndpoints(now);
    sendStoreNews(now);
}

void GatewayNode::applyStoreUpdates(Instant now)
{
    for (const FollowerUpdate& update : follower_.takeUpdates())
        onFollowerUpdate(now, update);
    if (follower_.hasListed())
        newsReceiver_.onPosition(follower_.revision());
}

void GatewayNode::publishEndpoints(Instant now)
{
    bool isPaced = watchInterval_.isShared() && now < nextPublication_;
    if (isPaced || !endpoints_.tick(now))
        return;
    nextPublication_ = now + publicationInterval;
    std::vector<EndpointRecord> records = endpoints_.records();
    forward_->setEndpoints(records, settings_.regions);
    std::set<std::pair<std::string, std::int64_t>> registered;
    for (const EndpointRecord& record : records)
        registered.emplace(record.id, record.incarnation);
    quarantine_.onEndpoints(now, std::move(registered));
    duties_->setEndpoints(std::move(records));
}

void GatewayNode::onStoreEra(Instant now, const std::string& source)
{
    std::uint64_t era = *runner_.era().current();
    // What was received in the former era is compared within it.
    applyStoreUpdates(now);
    newsReceiver_.onEra(era);
    newsSender_.clear();
    if (handledEra_) {
        hasSeenRestore_ = true;
        beforeRestore_ = {*handledEra_, follower_.revision()};
        LogEvent("store.era_changed", Severity::Warning)
            .with("era", era)
            .with("previous_era", *handledEra_)
            .with("source", source);
        follower_.onStoreRestored(now);
        registration_->onStoreRestored(now);
        flusher_.onStoreRestored();
        quarantine_.onStoreRestored(now);
        endpoints_.onStoreRestored(now);
    }
    handledEra_ = era;
    storeEraGauge_.Set(static_cast<double>(era));
    duties_->onStoreEra(now, era, clusterClock_.unixMillis(now));
}

void GatewayNode::onPeerStoreNews(
    Instant now, const std::string& peer, const std::optional<StoreEraNews>& news)
{
    if (runner_.era().onPeerEra(news ? std::optional<std::uint64_t>(news->era) : std::nullopt))
        onStoreEra(now, peer);
    if (!news || news->usageProgress.empty())
        return;
    if (std::optional<UsageProgress> progress = parseUsageProgress(news->usageProgress))
        duties_->onPeerProgress(*progress, news->era, news->seenAtUnixMillis);
    else
        LogEvent("peer.bad_usage_progress", Severity::Warning)
            .with("peer", peer)
            .with("bytes", news->usageProgress.size());
}

void GatewayNode::logRestoredStore(const FollowerUpdate& firstList)
{
    if (!beforeRestore_)
        return;
    LogEvent("store.restored", Severity::Warning)
        .with("era", *handledEra_)
        .with("previous_era", beforeRestore_->first)
        .with("revision", firstList.revision)
        .with("previous_revision", beforeRestore_->second)
        .with("writes_again", "registration, usage totals, quarantine");
    beforeRestore_.reset();
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
        logRestoredStore(update);
        if (update.prefix == vmKeyPrefix)
            onVmList(now, update.entries);
        else if (newsReceiver_.isShared(update.prefix))
            onSharedList(now, update);
        else {
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
    } else if (event.key.starts_with(vmKeyPrefix)) {
        std::string name = event.key.substr(std::string_view(vmKeyPrefix).size());
        if (event.isRemoval)
            storedVms_.erase(name);
        else if (std::optional<VmInfo> vm = decodeVmEntry(event.value))
            storedVms_[name] = *vm;
    } else if (newsReceiver_.acceptFromStore(event) && onSharedChange(now, event)
        && watchInterval_.isShared())
        newsSender_.onOwnChange(now, event);
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

namespace {

// Further findings of one configuration are only counted; `ragwortwinch check` shows them all.
constexpr std::size_t maxLoggedFindings = 10;

void logFindings(const std::vector<ConfigFinding>& findings, const std::string& source)
{
    for (std::size_t index = 0; index < std::min(findings.size(), maxLoggedFindings); ++index) {
        const ConfigFinding& finding = findings[index];
        LogEvent event("config.finding",
            finding.severity == FindingSeverity::Error ? Severity::Error : Severity::Warning);
        addFinding(event.with("source", source), finding);
    }
    if (findings.size() > maxLoggedFindings)
        LogEvent("config.findings_not_shown", Severity::Warning)
            .with("source", source)
            .with("count", findings.size() - maxLoggedFindings);
}

} // namespace

void GatewayNode::adoptConfig(const std::string& text, const std::string& source)
{
    platform::ConfigInspection inspection = platform::inspectConfig(text);
    if (!inspection.traffic) {
        LogEvent("config.unreadable", Severity::Error)
            .with("source", source)
            .with("bytes", text.size())
            .with("in_force", configVersion_)
            .with("problems", inspection.findings.size())
            .with("more", inspection.hasMore);
        logFindings(inspection.findings, source);
        return;
    }
    TrafficConfig* config = &inspection.traffic->config;
    if (config->version <= configVersion_)
        return;
    logFindings(inspection.findings, source);
    LogEvent("config.adopted")
        .with("version", config->version)
        .with("previous", configVersion_)
        .with("source", source)
        .with("routes", config->routes.size())
        .with("services", config->services.size())
        .with("teams", config->teams.size());
    configVersion_ = config->version;
    ConfigBody body;
    body.head.version = configVersion_;
    body.head.hash = sha256Hex(text);
    body.head.parts = 1;
    body.text = text;
    configFrame_ = encodeConfigBody(body);
    adoptedConfig_.replace(std::make_unique<AdoptedConfig>(
        AdoptedConfig{config->version, std::make_shared<const std::string>(text)}));
    duties_->setServices(config->services);
    setTeamLimits(clock_.now(), config->teams);
    std::shared_ptr<const TrafficTable> table = std::make_shared<TrafficTable>(std::move(*config));
    traffic_.replace(std::make_unique<std::shared_ptr<const TrafficTable>>(std::move(table)));
}

} // namespace ragwortwinch
