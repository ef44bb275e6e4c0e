#include "ragwortwinch/caller/forward_server.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <future>
#include <limits>

namespace ragwortwinch {

namespace {

// Pause after an accept failed, for example for lack of file descriptors.
constexpr Millis acceptPause{50};
// Limit on connections accepted in one event, so that requests in progress don't wait long for them.
constexpr std::size_t maxAcceptsPerEvent = 64;
constexpr Millis allowanceCheckInterval{1000};
// Stalled requests are looked for at most this often while there are none, since each search asks the system
// about each connection.
constexpr Millis stalledSearchInterval{50};

} // namespace

ForwardServer::ForwardServer(const RequestCodec& codec, const Clock& clock, const ForwardOptions& options,
    TrafficSnapshot& traffic, UsageCounter& usage, std::function<std::int64_t()> clusterUnixMillis,
    std::unique_ptr<EndpointChooser> chooser, ForwardMetrics& metrics)
    : memory_(options.memory)
    , options_(options)
    , metrics_(metrics)
    , chooser_(std::move(chooser))
    , endpoints_(static_cast<std::uint32_t>(std::hash<std::string>()(options.vm)))
    , allowance_(options.quotaRule, options.vm, clock.now())
    , context_{io_, codec, clock, options, traffic, usage, std::move(clusterUnixMillis), endpoints_,
          *chooser_, metrics, log_, allowance_, memory_}
    , acceptor_(io_)
    , sweepTimer_(io_)
    , acceptTimer_(io_)
{
    memory_.setReclaim(
        [this](const MemoryCharge& charge, std::size_t bytes) { return endStalledRequests(charge, bytes); });
}

ForwardServer::~ForwardServer() = default;

Result<std::uint16_t> ForwardServer::listen(const SocketAddress& address)
{
    boost::system::error_code error;
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        acceptor_.non_blocking(true, error);
    if (error)
        return makeError(ErrorKind::BadSettings,
            fmt::format("can't listen on {} for callers: {}; free the port or change `entry_address`",
                address.text(), error.message()));
    return acceptor_.local_endpoint().port();
}

void ForwardServer::run()
{
    accept();
    context_.lag.start(context_.clock.now());
    scheduleSweep();
    io_.run();
}

void ForwardServer::stop() { io_.stop(); }

void ForwardServer::accept()
{
    if (!acceptor_.is_open())
        return;
    isAccepting_ = true;
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            isAccepting_ = false;
            if (error && error != boost::asio::error::operation_aborted) {
                LogEvent("callers.accept_failed", Severity::Warning).with("problem", error.message());
                acceptTimer_.expires_after(acceptPause);
                acceptTimer_.async_wait([this](const boost::system::error_code&) { accept(); });
                return;
            }
            if (!error) {
                addSession(std::move(socket));
                // One accept for each turn of a busy thread's queue would let callers wait for seconds.
                boost::system::error_code ignored;
                acceptQueued(maxAcceptsPerEvent - 1, ignored);
            }
            updateDrained();
            accept();
        });
}

std::size_t ForwardServer::acceptQueued(std::size_t most, boost::system::error_code& error)
{
    std::size_t accepted = 0;
    while (accepted < most && acceptor_.is_open()) {
        boost::asio::ip::tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (error)
            break;
        ++accepted;
        addSession(std::move(socket));
    }
    return accepted;
}

void ForwardServer::updateDrained()
{
    isDrained_.store(!acceptor_.is_open() && !isAccepting_ && sessions_.empty());
}

bool ForwardServer::endStalledRequests(const MemoryCharge& charge, std::size_t bytes)
{
    Instant now = context_.clock.now();
    if (now - noStalledAt_ < stalledSearchInterval)
        return false;
    // Bytes may lie unhandled for as long as this thread is behind.
    Millis stallTime = options_.stallTime + context_.lag.recentLag(now);
    std::vector<std::shared_ptr<CallerSession>> stalled;
    for (const std::shared_ptr<CallerSession>& session : sessions_) {
        bool holdsMemory = &session->memory() != &charge && session->memory().bytes() > 0;
        if (holdsMemory && session->isStalled(stallTime))
            stalled.push_back(session);
    }
    std::sort(stalled.begin(), stalled.end(),
        [](const std::shared_ptr<CallerSession>& first, const std::shared_ptr<CallerSession>& second) {
            return first->memory().bytes() > second->memory().bytes();
        });
    std::size_t released = 0;
    for (const std::shared_ptr<CallerSession>& session : stalled) {
        if (released >= bytes)
            break;
        std::size_t held = session->memory().bytes();
        session->endStalled();
        released += held - session->memory().bytes();
    }
    if (released == 0) {
        noStalledAt_ = now;
        return false;
    }
    if (log_.shouldLogFailure(now))
        LogEvent("callers.stalled_ended", Severity::Warning)
            .with("needed_bytes", bytes)
            .with("released_bytes", released)
            .with("held_bytes", memory_.requestBytes());
    return true;
}

void ForwardServer::scheduleSweep()
{
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        sweep();
        scheduleSweep();
    });
}

void ForwardServer::sweep()
{
    checkLag();
    checkAllowance();
    std::vector<UpstreamPointer> endpoints = endpoints_.all();
    context_.pool.sweep(endpoints, context_.clock.now());
    std::map<std::string, EndpointWork> work;
    for (const UpstreamPointer& endpoint : endpoints) {
        if (endpoint->running)
            work[endpoint->record.id] = {endpoint->running, endpoint->engineLoad.localTokens()};
    }
    updateLimitParts(endpoints);
    std::vector<EndpointLimitReport> limits;
    for (const UpstreamPointer& endpoint : endpoints) {
        if (endpoint->limit.ownObservation())
            limits.push_back(
                {endpoint->record.id, endpoint->record.incarnation, *endpoint->limit.ownObservation()});
    }
    std::size_t busy = 0;
    std::vector<std::shared_ptr<CallerSession>> unreachable;
    for (const std::shared_ptr<CallerSession>& session : sessions_) {
        busy += session->isIdle() ? 0 : 1;
        if (session->isCallerUnreachable())
            unreachable.push_back(session);
    }
    for (const std::shared_ptr<CallerSession>& session : unreachable)
        session->endUnreachable();
    sessionsWithRequests_.store(busy);
    metrics_.setSessions(sessions_.size());
    metrics_.setBufferedBytes(memory_.requestBytes());
    std::lock_guard<std::mutex> lock(workMutex_);
    work_ = std::move(work);
    limits_ = std::move(limits);
}

void ForwardServer::checkLag()
{
    Instant now = context_.clock.now();
    Millis lag = context_.lag.lag(now);
    metrics_.setLag(lag);
    if (std::optional<LagSpell> spell = context_.lag.onTimer(now))
        LogEvent(spell->hasEnded ? "forward.caught_up" : "forward.behind", Severity::Warning)
            .with("worst_ms", spell->worst.count())
            .with("ms", spell->duration.count())
            .with("connections", sessions_.size());
    recentLagMillis_.store(context_.lag.recentLag(now).count());
}

void ForwardServer::checkAllowance()
{
    Instant now = context_.clock.now();
    if (now < nextAllowanceCheck_)
        return;
    nextAllowanceCheck_ = now + allowanceCheckInterval;
    metrics_.setAllowance(allowance_.locked()->totals());
    for (const OverLimitSpell& spell : allowance_.locked()->takeSpells(now))
        LogEvent(spell.hasEnded ? "team.within_limit" : "team.over_limit")
            .with("team", spell.status.team)
            .with("limit_per_s", spell.status.perSecond)
            .with("burst", spell.status.burst)
            .with("asked_per_s_here", spell.status.ownDemand)
            .with("asked_per_s_at_peers", spell.status.peerDemand)
            .with("allocation_per_s", spell.status.allocation)
            .with("refused_cost", spell.refusedCost)
            .with("ms", spell.duration.count());
}

void ForwardServer::updateLimitParts(const std::vector<UpstreamPointer>& endpoints)
{
    Instant now = context_.clock.now();
    for (const UpstreamPointer& endpoint : endpoints) {
        EndpointLimit& limit = endpoint->limit;
        if (!limit.needsPart())
            continue;
        double part = requestLimitPart(endpoint->record.id, limit.perSecond(), options_.vm, vms_);
        limit.setPart(now, part);
        LogEvent("endpoint.limit_part")
            .with("endpoint", endpoint->record.id)
            .with("limit_per_s", limit.perSecond())
            .with("part_per_s", part)
            .with("vms", vms_.size());
    }
}

std::vector<EndpointLimitReport> ForwardServer::limits() const
{
    std::lock_guard<std::mutex> lock(workMutex_);
    return limits_;
}

void ForwardServer::setVms(std::set<std::string> vms)
{
    boost::asio::post(io_, [this, vms = std::move(vms)]() mutable {
        vms_ = std::move(vms);
        context_.slotReserve->setVmCount(vms_.size());
        endpoints_.requestLimitParts();
    });
}

void ForwardServer::setPeerLimits(std::vector<EndpointLimitReport> reports)
{
    boost::asio::post(io_, [this, reports = std::move(reports)] {
        for (const EndpointLimitReport& report : reports)
            endpoints_.onPeerLimit(report.endpoint, report.incarnation, report.observation);
    });
}

std::map<std::string, EndpointWork> ForwardServer::work() const
{
    std::lock_guard<std::mutex> lock(workMutex_);
    return work_;
}

void ForwardServer::setEndpoints(
    std::vector<EndpointRecord> records, std::map<std::string, std::string> regions)
{
    boost::asio::post(io_, [this, records = std::move(records), regions = std::move(regions)] {
        endpoints_.update(records, regions);
    });
}

void ForwardServer::setPeerLoad(std::map<std::string, EndpointWork> work)
{
    boost::asio::post(io_, [this, work = std::move(work)] { endpoints_.setPeerLoad(work); });
}

void ForwardServer::setRetrySlack(double slack)
{
    boost::asio::post(io_, [this, slack] {
        context_.retryBudget.slack = slack;
        for (auto& [service, budget] : context_.retryBudgets)
            budget.setOptions(context_.retryBudget);
    });
}

void ForwardServer::setQuarantine(std::map<TraitId, Instant> quarantinedUntil, std::set<TraitId> suspected)
{
    boost::asio::post(
        io_, [this, quarantinedUntil = std::move(quarantinedUntil), suspected = std::move(suspected)] {
            context_.crashes.setQuarantine(quarantinedUntil, suspected);
        });
}

void ForwardServer::beginDrain(Instant start, Instant end)
{
    isDraining_.store(true);
    boost::asio::post(io_, [this, start, end] {
        context_.drain = DrainTimes{start + options_.drainGrace, end};
    });
}

void ForwardServer::closeListener()
{
    boost::asio::post(io_, [this] {
        if (!acceptor_.is_open())
            return;
        boost::system::error_code error;
        std::size_t queued = acceptQueued(std::numeric_limits<std::size_t>::max(), error);
        if (error != boost::asio::error::would_block)
            LogEvent("callers.accept_failed", Severity::Warning).with("problem", error.message());
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        LogEvent("callers.listener_closed")
            .with("queued_connections", queued)
            .with("connections", sessions_.size());
        updateDrained();
    });
}

void ForwardServer::endRequests()
{
    boost::asio::post(io_, [this] {
        std::set<std::shared_ptr<CallerSession>> sessions = sessions_;
        for (const std::shared_ptr<CallerSession>& session : sessions)
            session->endRequest();
    });
}

void ForwardServer::reportProcessEnd(Millis wait)
{
    std::shared_ptr<std::promise<void>> done = std::make_shared<std::promise<void>>();
    boost::asio::post(io_, [this, done] {
        for (const std::shared_ptr<CallerSession>& session : sessions_)
            session->onProcessEnd();
        done->set_value();
    });
    done->get_future().wait_for(wait);
}

void ForwardServer::closeIdleSessions(Millis minIdle)
{
    boost::asio::post(io_, [this, minIdle] {
        std::set<std::shared_ptr<CallerSession>> sessions = sessions_;
        for (const std::shared_ptr<CallerSession>& session : sessions)
            session->closeIfIdle(minIdle);
    });
}

} // namespace ragwortwinch
