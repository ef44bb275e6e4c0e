// What a node in gateway mode tells its peers and hears from them.
#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

namespace ragwortwinch {

namespace {

// The number of past usage windows that peers are told.
constexpr WindowId toldUsageWindows = 2;
// Loads go with each heartbeat in which they have changed, and unchanged ones at this interval, so that a
// peer that has dropped them for want of heartbeats has them again.
constexpr Millis loadRefreshInterval{1000};
// A window's last figures must arrive before it is closed, 2 s after its end.
constexpr Millis usageInterval{500};
constexpr Millis configRequestInterval{300};
// No further peer is sent the configuration while this much waits to be sent. When a new version is
// confirmed, most of the other VMs ask the first one that has it: 299 texts of 12,000 teams, 0.7 MB each, are
// 209 MB, on a machine of 120 MB and a link of 10 Mbit/s. Eleven of them are below the limit.
constexpr std::size_t maxQueuedBytesForConfig = 8 * 1024 * 1024;
// The peers' loads arrive one by one; their sums are passed on together.
constexpr Millis peerLoadInterval{20};

void logBadMessage(const std::string& peer, const char* kind, std::string_view payload)
{
    LogEvent("peer.bad_message", Severity::Warning)
        .with("peer", peer)
        .with("kind", kind)
        .with("bytes", payload.size());
}

} // namespace

WindowUsage GatewayNode::latestUsage(Instant now) const
{
    WindowUsage totals = usage_.totals();
    WindowId oldest = usage_.windowOf(clusterClock_.unixMillis(now)) - toldUsageWindows;
    std::erase_if(
        totals, [oldest](const std::pair<const WindowId, TeamUsage>& entry) { return entry.first < oldest; });
    return totals;
}

std::vector<EndpointLoad> GatewayNode::ownLoads() const
{
    std::vector<EndpointLoad> loads;
    for (const auto& [endpoint, work] : forward_->work())
        loads.push_back({endpoint, work.running, 0, work.promptTokens.onTime, work.promptTokens.late});
    return loads;
}

std::optional<StoreEraNews> GatewayNode::storeEraNews() const
{
    if (!hasSeenRestore_ || !handledEra_)
        return std::nullopt;
    return StoreEraNews{*handledEra_, duties_->eraSeenAtUnixMillis(), duties_->usageProgress().toJson()};
}

PeerDigest GatewayNode::makeDigest(const std::string& peer)
{
    Instant now = clock_.now();
    PeerDigest digest;
    digest.sender = selfInfo();
    digest.sequence = ++digestSequence_;
    digest.configVersion = configVersion_;
    digest.confirmationAgeMillis = (now - follower_.confirmedAt()).count();
    digest.isStoreDown = follower_.isStoreLost();
    digest.unixMillis = clock_.unixMillis();
    // The first digest of a connection only names this VM; a second one follows when the peer has named
    // itself. With 1,000 teams the usage has about 0.1 MB, and a VM that starts receives it from each other
    // VM.
    if (!peer.empty())
        digest.usage = toJson(latestUsage(now)).dump();
    digest.loads = ownLoads();
    digest.limits = peerLimits(now);
    if (std::optional<StoreEraNews> era = storeEraNews()) {
        digest.storeEra = era->era;
        digest.eraSeenAtUnixMillis = era->seenAtUnixMillis;
        digest.usageProgress = era->usageProgress;
    }
    return digest;
}

std::string GatewayNode::makeHeartbeat()
{
    Instant now = clock_.now();
    VmInfo self = selfInfo();
    std::string frames = encodeHeartbeat({incarnation_, self.isReady, self.isLeaving, follower_.isStoreLost(),
        configVersion_, clock_.unixMillis(), self.lag});
    PeerNews news = takeNews(now);
    if (!news.isEmpty())
        frames += encodeNews(news);
    return frames;
}

PeerNews GatewayNode::takeNews(Instant now)
{
    PeerNews news;
    std::vector<EndpointLoad> loads = ownLoads();
    if (loads != toldLoads_ || now >= nextLoads_) {
        nextLoads_ = now + loadRefreshInterval;
        toldLoads_ = loads;
        news.loads = std::move(loads);
    }
    std::map<std::pair<std::string, std::int64_t>, Instant> limits;
    for (PeerLimit& limit : peerLimits(now)) {
        std::pair<std::string, std::int64_t> key(limit.endpoint, limit.incarnation);
        Instant readAt = now - Millis(limit.ageMillis);
        auto told = toldLimits_.find(key);
        if (told == toldLimits_.end() || told->second != readAt)
            news.limits.push_back(std::move(limit));
        limits[key] = readAt;
    }
    toldLimits_ = std::move(limits);
    if (now >= nextUsage_) {
        nextUsage_ = now + usageInterval;
        WindowUsage totals = latestUsage(now);
        WindowUsage changed = changedTotals(totals, toldUsage_);
        if (!changed.empty())
            news.usage = encodeTotals(changed);
        toldUsage_ = std::move(totals);
    }
    std::optional<StoreEraNews> era = storeEraNews();
    if (era != toldStoreEra_) {
        toldStoreEra_ = era;
        news.storeEra = std::move(era);
    }
    news.demands = ownDemands(now);
    return news;
}

void GatewayNode::onPeerState(Instant now, const std::string& peer, std::int64_t unixMillis, bool isStoreDown,
    std::uint64_t configVersion)
{
    clusterClock_.onPeerClock(now, peer, unixMillis);
    if (isStoreDown)
        peersWithoutStore_.insert(peer);
    else
        peersWithoutStore_.erase(peer);
    if (configVersion > configVersion_ && now >= nextConfigRequest_) {
        nextConfigRequest_ = now + configRequestInterval;
        links_.send(peer, encodeFrame(PeerMessageKind::ConfigRequest, {}));
    }
}

void GatewayNode::onDigest(const std::string& peer, const PeerDigest& digest)
{
    Instant now = clock_.now();
    vms_.onHeartbeat(now, digest.sender);
    forward_->allowance().locked()->onHeard(peer, now);
    if (digest.storeEra)
        onPeerStoreNews(
            now, peer, StoreEraNews{*digest.storeEra, digest.eraSeenAtUnixMillis, digest.usageProgress});
    else
        onPeerStoreNews(now, peer, std::nullopt);
    peerLoad_.onReport(now, peer, digest.loads);
    if (!digest.usage.empty()) {
        duties_->setDirectTotals(usageKey(peer, std::to_string(digest.sender.incarnation)),
            windowUsageFromJson(parseJsonOrDiscard(digest.usage)));
    }
    updatePeerLoad(now);
    if (!digest.limits.empty())
        setPeerLimits(now, digest.limits);
    sendAllQuarantineNews(peer, digest.sender.incarnation);
    onPeerState(now, peer, digest.unixMillis, digest.isStoreDown, digest.configVersion);
}

void GatewayNode::onHeartbeat(Instant now, const std::string& peer, const PeerHeartbeat& heartbeat)
{
    vms_.onHeartbeat(now, peer, heartbeat);
    forward_->allowance().locked()->onHeard(peer, now);
    peerLoad_.refresh(now, peer);
    onPeerState(now, peer, heartbeat.unixMillis, heartbeat.isStoreDown, heartbeat.configVersion);
}

void GatewayNode::onNews(Instant now, const std::string& peer, const PeerNews& news)
{
    if (news.loads) {
        peerLoad_.onReport(now, peer, *news.loads);
        updatePeerLoad(now);
    }
    if (!news.limits.empty())
        setPeerLimits(now, news.limits);
    if (news.storeEra)
        onPeerStoreNews(now, peer, news.storeEra);
    auto known = vms_.entries().find(peer);
    if (known == vms_.entries().end())
        return;
    if (!news.demands.empty())
        setPeerDemands(now, peer, known->second.info.incarnation, news.demands);
    if (news.usage.empty())
        return;
    if (std::optional<WindowUsage> totals = decodeTotals(news.usage))
        duties_->addDirectTotals(usageKey(peer, std::to_string(known->second.info.incarnation)), *totals);
    else
        logBadMessage(peer, "usage", news.usage);
}

void GatewayNode::updatePeerLoad(Instant now)
{
    if (now < nextPeerLoadUpdate_ || !peerLoad_.takeChanged())
        return;
    nextPeerLoadUpdate_ = now + peerLoadInterval;
    std::map<std::string, EndpointWork> workByEndpoint;
    for (const auto& [endpoint, load] : peerLoad_.sums())
        workByEndpoint[endpoint] = {load.running, {load.promptTokens, load.latePromptTokens}};
    forward_->setPeerLoad(std::move(workByEndpoint));
}

void GatewayNode::onFrame(const std::string& peer, const PeerFrame& frame)
{
    if (frame.kind == PeerMessageKind::ConfigRequest && configVersion_ > 0) {
        // The peer asks again, or another VM.
        if (links_.queuedBytes() <= maxQueuedBytesForConfig)
            links_.send(peer, configFrame_);
        return;
    }
    if (frame.kind == PeerMessageKind::QuarantineNews) {
        onQuarantineNews(peer, frame.payload);
        return;
    }
    if (frame.kind == PeerMessageKind::StoreNews) {
        onStoreNews(clock_.now(), peer, frame.payload);
        return;
    }
    if (frame.kind == PeerMessageKind::Heartbeat) {
        if (std::optional<PeerHeartbeat> heartbeat = decodeHeartbeat(frame.payload))
            onHeartbeat(clock_.now(), peer, *heartbeat);
        else
            logBadMessage(peer, "heartbeat", frame.payload);
        return;
    }
    if (frame.kind == PeerMessageKind::News) {
        if (std::optional<PeerNews> news = decodeNews(frame.payload))
            onNews(clock_.now(), peer, *news);
        else
            logBadMessage(peer, "news", frame.payload);
        return;
    }
    if (frame.kind != PeerMessageKind::ConfigBody)
        return;
    std::optional<ConfigBody> body = decodeConfigBody(frame.payload);
    if (body && sha256Hex(body->text) == body->head.hash)
        adoptConfig(body->text, peer);
    else
        LogEvent("peer.bad_config", Severity::Warning).with("peer", peer);
}

} // namespace ragwortwinch
