#include "ragwortwinch/node/node.h"

#include "ragwortwinch/admin/admin_handler.h"
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

constexpr Millis tickInterval{25};
constexpr Millis configReadInterval{500};
constexpr Millis usageFlushInterval{1000};
constexpr Millis loadPollInterval{500};
constexpr Millis vmPollInterval{1000};
// How long keyed requests stay allowed without renewal by the control thread.
constexpr Millis gateValidity{500};
constexpr std::size_t maxPrefixEntries = 65536;
// This many nodes of an availability zone read the store; the others get the configuration from peers.
constexpr int storeReadersPerZone = 2;
constexpr int missedHeartbeatLimit = 6;
constexpr int adminMaxBodyBytes = 64 * 1024 * 1024;

std::string incarnationText(std::uint64_t incarnation) { return std::to_string(incarnation); }

} // namespace

Node::Node(Settings settings)
    : settings_(std::move(settings))
    , incarnation_(static_cast<std::uint64_t>(clock_.unixMillis()))
    , attemptIds_(std::stoull(secureRandomHex(8), nullptr, 16))
    , upstream_(makeCurlHttpClient())
    , platform_(makeCurlHttpClient())
    , store_(makeHttpKeyValueStore(*platform_, settings_.platformUrl))
    , prefixes_(maxPrefixEntries)
    , router_(ScoringOptions{settings_.availabilityZone, settings_.region}, prefixes_)
    , scheduler_(clock_, endpoints_, router_)
    , retries_(Limits().retryPercent)
    , usage_(settings_.usageWindow)
    , activeConfig_(std::make_unique<ActiveConfig>())
    , directory_(std::make_unique<VmDirectory>())
    , timer_(context_)
    , runner_(context_, *store_, clock_)
    , vms_(settings_.node, settings_.heartbeatInterval * missedHeartbeatLimit)
    , config_(opIds_, configReadInterval)
    , flusher_(settings_.node, incarnationText(incarnation_), opIds_, usageFlushInterval)
    , links_(context_, settings_.node, settings_.peerAddress, settings_.heartbeatInterval, *this)
    , peerLoad_(settings_.heartbeatInterval * missedHeartbeatLimit)
    , poller_(*platform_, endpoints_, loadPollInterval, [this] { scheduler_.dispatchQueued(); })
    , duties_(std::make_unique<Duties>(
          settings_, incarnationText(incarnation_), context_, runner_, opIds_, endpoints_))
{
}

Node::~Node()
{
    entryServer_.reset();
    adminServer_.reset();
    context_.stop();
    if (controlThread_.joinable())
        controlThread_.join();
    duties_.reset();
    upstream_.reset();
    platform_.reset();
}

DispatchContext Node::dispatchContext()
{
    return {clock_, *upstream_, *store_, scheduler_, retries_, attemptIds_, usage_, metrics_};
}

Result<void> Node::start()
{
    BOOST_LEAF_ASSIGN(settings_.peerAddress.port, links_.start());
    entryHandler_
        = std::make_shared<EntryHandler>(EntryLocation{settings_.availabilityZone, settings_.region},
            dispatchContext(), activeConfig_, directory_, gate_);
    BOOST_LEAF_ASSIGN(entryServer_,
        HttpServerBuilder()
            .address(settings_.entryAddress.host)
            .port(settings_.entryAddress.port)
            .threads(settings_.requestThreads)
            .handler(entryHandler_)
            .start());
    HttpServerLimits adminLimits;
    adminLimits.maxBodyBytes = adminMaxBodyBytes;
    adminLimits.maxConnections = 100;
    BOOST_LEAF_ASSIGN(adminServer_,
        HttpServerBuilder()
            .address(settings_.adminAddress.host)
            .port(settings_.adminAddress.port)
            .limits(adminLimits)
            .handler(std::make_shared<AdminHandler>(settings_.node, *this))
            .start());
    settings_.entryAddress.port = entryServer_->port();
    settings_.adminAddress.port = adminServer_->port();
    scheduleTick();
    controlThread_ = std::thread([this] { context_.run(); });
    LogEvent("node.started")
        .with("node", settings_.node)
        .with("entry", settings_.entryAddress.text())
        .with("admin", settings_.adminAddress.text())
        .with("peer", settings_.peerAddress.text());
    return {};
}

void Node::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void Node::tick()
{
    Instant now = clock_.now();
    tickConfig(now);
    tickMembership(now);
    tickUsage(now);
    std::set<std::string> candidates = vms_.nonLeavingPeers();
    std::erase_if(candidates, [&](const std::string& name) {
        return now - vms_.entries().at(name).lastHeartbeatAt
            > settings_.heartbeatInterval * missedHeartbeatLimit
            || vms_.entries().at(name).lastHeartbeatAt == Instant::min();
    });
    duties_->tick(now, clock_.unixMillis(), candidates);
    poller_.tick(now);
    tickPeerLoad(now);
    scheduler_.setNodeCount(vms_.usableCount(now));
    scheduler_.dispatchQueued();
    tickDrain(now);
}

void Node::tickPeerLoad(Instant now)
{
    peerLoad_.expire(now);
    const std::map<std::string, EndpointLoad>& sums = peerLoad_.sums();
    for (const EndpointPointer& endpoint : endpoints_.all()) {
        auto found = sums.find(endpoint->name());
        EndpointLoad load = found == sums.end() ? EndpointLoad{} : found->second;
        endpoint->setPeerLoad(load.running, load.kvBlocks);
    }
}

bool Node::hasEnoughStoreReaders(Instant now) const
{
    int readers = 0;
    for (const auto& entry : vms_.entries()) {
        bool isLive = entry.second.lastHeartbeatAt != Instant::min()
            && now - entry.second.lastHeartbeatAt <= settings_.heartbeatInterval * missedHeartbeatLimit;
        bool precedesSelfInZone = entry.second.info.availabilityZone == settings_.availabilityZone
            && entry.first < settings_.node;
        readers += isLive && precedesSelfInZone ? 1 : 0;
    }
    return readers >= storeReadersPerZone;
}

void Node::tickConfig(Instant now)
{
    config_.setAcceptsPeerConfirmation(hasEnoughStoreReaders(now));
    runner_.run(config_.tick(now),
        [this](Instant at, const StoreAnswer& answer) { return config_.onAnswer(at, answer); });
    if (std::optional<std::string> peer = config_.takePeerToQuery(now))
        links_.send(*peer, encodeFrame(PeerMessageKind::ConfigRequest, {}));
    if (std::optional<AcceptedConfig> adopted = config_.takeAdopted())
        install(*adopted);
    if (config_.mayServeKeyed(now, vms_.nonLeavingPeers()))
        gate_.allowUntil(now + gateValidity);
    else
        gate_.close();
}

void Node::install(const AcceptedConfig& config)
{
    const Rules& rules = *config.rules;
    endpoints_.update(rules);
    scheduler_.setLimits(rules.limits);
    retries_.setPercent(rules.limits.retryPercent);
    std::set<std::string> zones;
    for (const EndpointRule& endpoint : rules.endpoints)
        zones.insert(endpoint.availabilityZone);
    duties_->setZones(zones);
    activeConfig_.replace(std::make_unique<ActiveConfig>(config.head.version, config.rules));
}

VmInfo Node::selfInfo() const
{
    VmInfo vm;
    vm.name = settings_.node;
    vm.availabilityZone = settings_.availabilityZone;
    vm.region = settings_.region;
    vm.entryAddress = settings_.entryAddress;
    vm.peerAddress = settings_.peerAddress;
    vm.incarnation = incarnation_;
    vm.isLeaving = phase_.load() != Phase::Serving || vms_.isSelfLeaving();
    vm.isReady = !vm.isLeaving && config_.version() > 0 && gate_.isOpen(clock_.now());
    return vm;
}

void Node::tickMembership(Instant now)
{
    vms_.setSelf(selfInfo());
    pollVmList(now);
    std::vector<SocketAddress> addresses = vms_.peerAddresses();
    addresses.insert(addresses.end(), settings_.seedPeers.begin(), settings_.seedPeers.end());
    links_.setAddresses(addresses);
    links_.tick(now);
    auto next = std::make_unique<VmDirectory>(VmDirectory{vms_.usable(now)});
    bool isSame = false;
    {
        Snapshot<VmDirectory>::Reader current = directory_.read();
        isSame = current->usable.size() == next->usable.size()
            && std::equal(current->usable.begin(), current->usable.end(), next->usable.begin(),
                [](const VmInfo& left, const VmInfo& right) {
                    return left.name == right.name && left.entryAddress == right.entryAddress;
                });
    }
    if (!isSame)
        directory_.replace(std::move(next));
}

void Node::pollVmList(Instant now)
{
    if (now < nextVmPoll_)
        return;
    nextVmPoll_ = now + vmPollInterval;
    platform_->start(HttpCallBuilder("GET", settings_.platformUrl + "/v1/vms")
                         .connectTimeout(vmPollInterval)
                         .totalTimeout(vmPollInterval)
                         .build(),
        [this](const HttpCallResult& result) {
            if (result.isOk())
                asio::post(context_, [this, body = result.body] { onVmList(body); });
        });
}

void Node::onVmList(const std::string& body)
{
    std::optional<PlatformList> list = parsePlatformList(body);
    if (!list)
        return;
    if (list->hasVms)
        vms_.onPlatformList(clock_.now(), list->vms);
    markLeaving(list->leavingEndpoints);
}

void Node::markLeaving(const std::map<std::string, std::uint64_t>& incarnations)
{
    for (const auto& leaving : incarnations) {
        if (EndpointPointer endpoint = endpoints_.find(leaving.first))
            endpoint->setLeaving(leaving.second);
    }
}

void Node::tickUsage(Instant now)
{
    if (phase_.load() == Phase::Finishing)
        flusher_.flushSoon();
    runner_.run(flusher_.tick(now, usage_.totals()),
        [this](Instant at, const StoreAnswer& answer) { return flusher_.onAnswer(at, answer); });
    usage_.forgetBefore(usage_.windowOf(clock_.unixMillis()) - retainedWindows);
}

PeerDigest Node::makeDigest(const std::string& peer)
{
    Instant now = clock_.now();
    PeerDigest digest;
    digest.sender = selfInfo();
    digest.sequence = echoes_.next(now);
    digest.echo = echoes_.lastSequenceFrom(peer);
    digest.configVersion = config_.version();
    digest.confirmationAgeMillis = (now - config_.confirmedAt()).count();
    digest.isStoreDown = config_.mayReportStoreDown(now);
    for (const EndpointPointer& endpoint : endpoints_.all()) {
        if (endpoint->isLeaving())
            digest.leavingEndpoints[endpoint->name()] = endpoint->incarnation();
        if (endpoint->ownRunning() > 0)
            digest.loads.push_back({endpoint->name(), endpoint->ownRunning(), endpoint->ownKvBlocks(), 0, 0});
    }
    return digest;
}

void Node::onDigest(const std::string& peer, const PeerDigest& digest)
{
    Instant now = clock_.now();
    echoes_.onPeerHeartbeat(peer, digest.sequence);
    vms_.onHeartbeat(now, digest.sender);
    peerLoad_.onReport(now, peer, digest.loads);
    markLeaving(digest.leavingEndpoints);
    PeerConfigStatus configStatus;
    configStatus.peer = peer;
    configStatus.version = digest.configVersion;
    configStatus.isStoreDown = digest.isStoreDown;
    if (std::optional<Instant> echoed = echoes_.sentAt(digest.echo)) {
        configStatus.heartbeatSentAt = *echoed;
        configStatus.confirmedAt = *echoed - Millis(std::max<std::int64_t>(0, digest.confirmationAgeMillis));
    }
    config_.onPeerConfigStatus(now, configStatus);
}

void Node::onFrame(const std::string& peer, const PeerFrame& frame)
{
    if (frame.kind == PeerMessageKind::ConfigRequest && config_.version() > 0) {
        links_.send(peer, encodeConfigBody({config_.current().head, config_.current().text}));
        return;
    }
    if (frame.kind != PeerMessageKind::ConfigBody)
        return;
    if (std::optional<ConfigBody> body = decodeConfigBody(frame.payload))
        config_.onPeerConfig(clock_.now(), body->head, body->text);
}

void Node::drain()
{
    asio::post(context_, [this] {
        Phase expected = Phase::Serving;
        if (!phase_.compare_exchange_strong(expected, Phase::Leaving))
            return;
        Instant now = clock_.now();
        Millis validity = activeConfig_.read()->rules->limits.entryAnswerValidity;
        leaveUntil_ = now + validity + settings_.heartbeatInterval * 2;
        finishBy_ = leaveUntil_ + settings_.drainBound;
        duties_->requestReleaseAll();
        LogEvent("node.drain").with("node", settings_.node).with("active", metrics_.active.load());
    });
}

bool Node::hasFinished()
{
    return metrics_.active.load() == 0 && duties_->isReleased() && flusher_.hasFlushed(usage_.totals());
}

void Node::tickDrain(Instant now)
{
    bool isLeavePeriodOver = phase_.load() == Phase::Leaving && now >= leaveUntil_;
    if (isLeavePeriodOver) {
        entryHandler_->refuseNewRequests();
        phase_.store(Phase::Finishing);
    }
    if (phase_.load() != Phase::Finishing || (!hasFinished() && now < finishBy_))
        return;
    LogEvent("node.drained")
        .with("node", settings_.node)
        .with("active", metrics_.active.load())
        .with("usage_flushed", flusher_.hasFlushed(usage_.totals()));
    {
        std::lock_guard<std::mutex> lock(endMutex_);
        phase_.store(Phase::Ended);
    }
    ended_.notify_all();
}

void Node::waitUntilDrained()
{
    std::unique_lock<std::mutex> lock(endMutex_);
    ended_.wait(lock, [this] { return phase_.load() == Phase::Ended; });
}

} // namespace ragwortwinch
