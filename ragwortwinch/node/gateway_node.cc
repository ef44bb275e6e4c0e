#include "ragwortwinch/node/gateway_node.h"

#include "platform/platform_store.h"
#include "platform/request_codec.h"
#include "platform/store_values.h"
#include "ragwortwinch/base/log_event.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

constexpr Millis tickInterval{50};
constexpr int missedHeartbeatLimit = 10;
// The part of a team's limit that belongs to a VM which is no longer known stays unused for this long: in
// this time, a VM that lives but has lost contact limits itself.
constexpr Millis allowanceContactTime{4000};
// The store deletes a VM's entry if its process doesn't renew it for this long.
constexpr Millis registrationTtl{9000};
// Heartbeats carry newer usage to the peers between flushes; the store keeps the usage of ended VMs.
constexpr Millis usageFlushInterval{2000};
// A stopping VM keeps a new connection open for this long, so that its first request can arrive. Covers a
// round trip between regions.
constexpr Millis firstRequestWait{250};
// How long a process at its stop bound stays to send the replies to the requests that it ends.
constexpr Millis lastReplyTime{250};
// How long a process that ends waits for the report on the connections that are left.
constexpr Millis endReportWait{100};
// Peers are told the lag in these steps, so that address answers don't change with every millisecond.
constexpr Millis lagStep{50};
// For the readiness, directory and operators' ports.
constexpr std::size_t maxAuxiliaryConnections = 400;
// None of their requests has a body.
constexpr std::uint64_t maxAuxiliaryBodyBytes = 4096;
// Fraction of the descriptors for connections of callers; the rest is for endpoints, peers and the store.
// With 3,075 descriptors, the fewest of a VM, it allows the default of ForwardOptions::maxSessions.
constexpr double callerDescriptorFraction = 0.8;

} // namespace

GatewayNode::GatewayNode(GatewaySettings settings)
    : settings_(std::move(settings))
    , incarnation_(static_cast<std::uint64_t>(clock_.unixMillis()))
    , metrics_(registry_)
    , forwardOptions_(makeForwardOptions())
    , codec_(platform::makeRequestCodec())
    , traffic_(std::make_unique<std::shared_ptr<const TrafficTable>>())
    , usage_(settings_.usageWindow)
    , forward_(std::make_unique<ForwardServer>(
          *codec_, clock_, forwardOptions_, traffic_, usage_,
          [this] { return clusterClock_.unixMillis(clock_.now()); }, std::make_unique<AffinityChooser>(),
          metrics_))
    , storeClient_(makeCurlHttpClient())
    , store_(platform::makePlatformStore(*storeClient_, settings_.storeUrl))
    , directory_(std::make_unique<VmDirectory>())
    , adoptedConfig_(std::make_unique<AdoptedConfig>())
    , timer_(context_)
    , runner_(context_, *store_, clock_)
    // The quarantine comes first, so that a VM that starts knows it before it serves.
    , follower_(
          {quarantineKeyPrefix, platform::configurationKey(), platform::endpointKeyPrefix(), vmKeyPrefix}, "",
          FollowerOptions{}, opIds_)
    , newsReceiver_({quarantineKeyPrefix, platform::endpointKeyPrefix()})
    , newsMetrics_(registry_)
    , random_(static_cast<std::uint32_t>(incarnation_ ^ std::hash<std::string>()(settings_.node)))
    , storeEraGauge_(prometheus::BuildGauge()
                         .Name("ragwortwinch_store_era")
                         .Help("Era of the store; rises when it comes back from an older copy")
                         .Register(registry_)
                         .Add({}))
    , vms_(settings_.node, settings_.heartbeatInterval * missedHeartbeatLimit)
    , retrySlack_(settings_.retrySlack, settings_.retryWindow, clock_.now())
    , allowanceVms_(1, allowanceContactTime, clock_.now())
    , links_(context_, settings_.node, settings_.peerAddress, settings_.heartbeatInterval, *this)
    , quarantine_(settings_.node, opIds_)
    , flusher_(settings_.node, std::to_string(incarnation_), opIds_, usageFlushInterval,
          /*retention=*/Millis(0))
    , peerLoad_(settings_.heartbeatInterval * missedHeartbeatLimit)
{
}

GatewayNode::~GatewayNode()
{
    forward_->stop();
    context_.stop();
    for (std::thread* thread : {&forwardThread_, &controlThread_}) {
        if (thread->joinable())
            thread->join();
    }
    readinessServer_.reset();
    directoryServer_.reset();
    adminServer_.reset();
    duties_.reset();
    storeClient_.reset();
}

ForwardOptions GatewayNode::makeForwardOptions() const
{
    ForwardOptions options;
    options.vm = settings_.node;
    options.availabilityZone = settings_.availabilityZone;
    options.region = settings_.region;
    options.retryBudget = {settings_.retryRatio, settings_.retryWindow, /*slack=*/0};
    options.quotaRule = {settings_.quotaWindow, settings_.quotaOvershoot, settings_.quotaSlack};
    if (settings_.memoryMegabytes > 0)
        options.memory = MemoryLimits::forMachine(settings_.memoryMegabytes);
    if (settings_.fileDescriptors > 0)
        options.maxSessions = std::min(options.maxSessions,
            static_cast<std::size_t>(settings_.fileDescriptors * callerDescriptorFraction));
    return options;
}

Result<std::unique_ptr<HttpServer>> GatewayNode::startServer(
    const SocketAddress& address, std::shared_ptr<HttpHandler> handler)
{
    HttpServerLimits limits;
    limits.maxConnections = maxAuxiliaryConnections;
    limits.maxBodyBytes = maxAuxiliaryBodyBytes;
    return HttpServerBuilder()
        .address(address.host)
        .port(address.port)
        .limits(limits)
        .handler(std::move(handler))
        .start();
}

Result<void> GatewayNode::start()
{
    BOOST_LEAF_ASSIGN(settings_.entryAddress.port, forward_->listen(settings_.entryAddress));
    BOOST_LEAF_ASSIGN(settings_.peerAddress.port, links_.start());
    BOOST_LEAF_ASSIGN(readinessServer_,
        startServer(settings_.readinessAddress, std::make_shared<ReadinessHandler>(isReady_)));
    BOOST_LEAF_ASSIGN(directoryServer_,
        startServer(settings_.directoryAddress,
            std::make_shared<AddressHandler>(directory_, settings_.answerValidity)));
    GatewayAdminHandler::StateProvider provideStatus = [this](std::function<void(Json)> onDone) {
        asio::post(context_, [this, onDone = std::move(onDone)] { onDone(status(clock_.now())); });
    };
    GatewayAdminHandler::StateProvider provideDump = [this](std::function<void(Json)> onDone) {
        asio::post(context_, [this, onDone = std::move(onDone)] { onDone(dump(clock_.now())); });
    };
    BOOST_LEAF_ASSIGN(adminServer_,
        startServer(settings_.adminAddress,
            std::make_shared<GatewayAdminHandler>(
                registry_, adoptedConfig_, std::move(provideStatus), std::move(provideDump))));
    settings_.adminAddress.port = adminServer_->port();
    registration_ = std::make_unique<VmRegistration>(selfInfo(), opIds_, registrationTtl);
    duties_ = std::make_unique<GatewayDuties>(
        settings_, std::to_string(incarnation_), context_, runner_, opIds_, *storeClient_);
    clusterClock_.onOwnClock(clock_.now(), clock_.unixMillis());
    forward_->setCrashListener(this);
    runner_.setEraListener([this](Instant now, EraVerdict) { onStoreEra(now, "store"); });
    scheduleTick();
    controlThread_ = std::thread([this] { context_.run(); });
    forwardThread_ = std::thread([this] { forward_->run(); });
    LogEvent("node.started")
        .with("node", settings_.node)
        .with("zone", settings_.availabilityZone)
        .with("incarnation", incarnation_)
        .with("entry", settings_.entryAddress.text())
        .with("admin", settings_.adminAddress.text())
        .with("peer", settings_.peerAddress.text())
        .with("store", settings_.storeUrl);
    return {};
}

void GatewayNode::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void GatewayNode::tick()
{
    Instant now = clock_.now();
    clusterClock_.onOwnClock(now, clock_.unixMillis());
    livePeers_ = findLivePeers(now);
    tickStoreNews(now);
    tickStore(now);
    tickMembership(now);
    peerLoad_.expire(now);
    updatePeerLoad(now);
    tickRetryBudget(now);
    tickAllowance(now);
    tickQuarantine(now);
    tickUsage(now);
    duties_->tick(now, clusterClock_.unixMillis(now), dutyCandidates());
    tickDrain(now);
}

VmInfo GatewayNode::selfInfo() const
{
    VmInfo vm;
    vm.name = settings_.node;
    vm.availabilityZone = settings_.availabilityZone;
    vm.region = settings_.region;
    vm.entryAddress = settings_.entryAddress;
    vm.peerAddress = settings_.peerAddress;
    vm.incarnation = incarnation_;
    vm.isLeaving = isDraining_;
    vm.isReady = !isDraining_ && configVersion_ > 0;
    vm.linkMbps = settings_.linkMbps;
    vm.processorCores = settings_.processorCores;
    vm.lag = forward_->recentLag() / lagStep * lagStep;
    return vm;
}

std::set<std::string> GatewayNode::findLivePeers(Instant now) const
{
    std::set<std::string> names;
    for (const auto& [name, entry] : vms_.entries()) {
        bool isLive = entry.lastHeartbeatAt != Instant::min()
            && now - entry.lastHeartbeatAt <= settings_.heartbeatInterval * missedHeartbeatLimit;
        if (isLive && !entry.info.isLeaving)
            names.insert(names.end(), name);
    }
    return names;
}

std::set<std::string> GatewayNode::dutyCandidates() const
{
    std::set<std::string> names = livePeers_;
    for (const std::string& name : peersWithoutStore_)
        names.erase(name);
    return names;
}

void GatewayNode::tickMembership(Instant now)
{
    VmInfo self = selfInfo();
    isReady_.store(self.isReady);
    vms_.setSelf(self);
    runner_.run(registration_->tick(now),
        [this](Instant at, const StoreAnswer& answer) { return registration_->onAnswer(at, answer); });
    std::vector<SocketAddress> addresses = settings_.seedPeers;
    for (const auto& [name, vm] : storedVms_) {
        if (name != settings_.node)
            addresses.push_back(vm.peerAddress);
    }
    links_.setAddresses(addresses);
    links_.tick(now);
    auto next = std::make_unique<VmDirectory>(VmDirectory{vms_.usable(now)});
    auto hasSameAddress = [](const VmInfo& left, const VmInfo& right) {
        return left.name == right.name && left.entryAddress == right.entryAddress;
    };
    auto hasSameLag = [](const VmInfo& left, const VmInfo& right) { return left.lag == right.lag; };
    bool hasSameVms = false;
    bool isSame = false;
    {
        Snapshot<VmDirectory>::Reader current = directory_.read();
        const std::vector<VmInfo>& former = current->usable;
        const std::vector<VmInfo>& usable = next->usable;
        hasSameVms = std::equal(former.begin(), former.end(), usable.begin(), usable.end(), hasSameAddress);
        isSame = hasSameVms && std::equal(former.begin(), former.end(), usable.begin(), hasSameLag);
    }
    if (!hasSameVms)
        LogEvent("directory.changed").with("usable_vms", next->usable.size());
    if (!isSame)
        directory_.replace(std::move(next));
}

void GatewayNode::tickUsage(Instant now)
{
    runner_.run(flusher_.tick(now, usage_.totals()),
        [this](Instant at, const StoreAnswer& answer) { return flusher_.onAnswer(at, answer); });
    usage_.forgetBefore(usage_.windowOf(clusterClock_.unixMillis(now)) - retainedWindows);
}

void GatewayNode::reload(GatewaySettings settings)
{
    asio::post(context_, [this, settings = std::move(settings)] {
        LogEvent("settings.reloaded").with("seed_peers", settings.seedPeers.size());
        settings_.seedPeers = settings.seedPeers;
        settings_.regions = settings.regions;
        forward_->setEndpoints(endpoints_.records(), settings_.regions);
    });
}

void GatewayNode::drain()
{
    if (isStopOrdered_.exchange(true))
        return;
    // The stop's times count from here, even if the other threads are behind.
    Instant start = clock_.now();
    forward_->beginDrain(start, start + settings_.stopBound);
    asio::post(context_, [this, start] {
        isDraining_ = true;
        drainStart_ = start;
        LogEvent("node.draining")
            .with("node", settings_.node)
            .with("busy_connections", forward_->sessionsWithRequests())
            .with("order_age_ms", (clock_.now() - start).count());
        registration_->remove();
        duties_->requestLeaseRelease();
        flusher_.flushSoon();
    });
}

void GatewayNode::tickDrain(Instant now)
{
    if (!isDraining_)
        return;
    // Callers may use an address list that contains this VM until `lastAnswerExpiry`.
    Instant lastAnswerExpiry = drainStart_ + settings_.answerValidity + settings_.heartbeatInterval;
    if (now < lastAnswerExpiry)
        return;
    forward_->closeListener();
    forward_->closeIdleSessions(firstRequestWait);
    flusher_.flushSoon();
    bool isFinished = forward_->isDrained() && duties_->isReleased() && flusher_.hasFlushed(usage_.totals());
    Instant bound = drainStart_ + settings_.stopBound;
    if (!isFinished && now >= bound && !hasEndedRequests_) {
        hasEndedRequests_ = true;
        forward_->endRequests();
    }
    if (!isFinished && now < bound + lastReplyTime)
        return;
    if (!isFinished)
        forward_->reportProcessEnd(endReportWait);
    LogEvent("node.stopped")
        .with("node", settings_.node)
        .with("busy_connections", forward_->isDrained() ? 0 : forward_->sessionsWithRequests())
        .with("usage_flushed", flusher_.hasFlushed(usage_.totals()))
        .with("ms", (now - drainStart_).count());
    {
        std::lock_guard<std::mutex> lock(endMutex_);
        hasEnded_ = true;
    }
    ended_.notify_all();
}

void GatewayNode::waitUntilDrained()
{
    std::unique_lock<std::mutex> lock(endMutex_);
    ended_.wait(lock, [this] { return hasEnded_; });
}

} // namespace ragwortwinch
