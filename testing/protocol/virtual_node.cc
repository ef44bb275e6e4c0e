#include "testing/protocol/virtual_node.h"

#include "ragwortwinch/base/mechanism.h"

#include <fmt/format.h>

namespace ragwortwinch::protocol {

namespace {

LeaseOptions leaseOptions() { return {leaseTtl, clockMargin, sendBound, Millis(100)}; }

std::int64_t requestsIn(const WindowUsage& usage)
{
    std::int64_t sum = 0;
    for (const auto& window : usage) {
        for (const auto& team : window.second)
            sum += team.second.requests;
    }
    return sum;
}

std::string rulesText(const std::string& changeId)
{
    return fmt::format("{{ \"rules\": [\n{{\"rule\": \"limit\", \"name\": \"freshness_bound_ms\", \"value\": "
                       "{}}} // change {}\n] }}\n",
        freshnessBound.count(), changeId);
}

} // namespace

VirtualNode::State::State(const std::string& name, const std::string& incarnation)
    : fleetLease("fleet/zone", name, incarnation, ids, leaseOptions())
    , journal("zone", name + "." + incarnation, ids, sendBound, Millis(150))
    , usageLease("usage/0", name, incarnation, ids, leaseOptions())
    , closer("0", ids, {usageWindow, Millis(300), Millis(150)})
    , config(ids, Millis(200))
    , flusher(name, incarnation, ids, Millis(200))
{
}

VirtualNode::VirtualNode(std::string name, VirtualTime& time, VirtualStore& store,
    SimulatedEnvironment& environment, std::mt19937_64& random)
    : name_(std::move(name))
    , time_(time)
    , store_(store)
    , environment_(environment)
    , random_(random)
{
    start();
}

void VirtualNode::start()
{
    state_ = std::make_shared<State>(name_, std::to_string(++incarnation_));
    // n2 does not read the configuration from the store while its peers confirm its version.
    state_->config.setAcceptsPeerConfirmation(name_ == "n2");
}

void VirtualNode::pause(Millis length) { pausedUntil_ = std::max(pausedUntil_, time_.now() + length); }

void VirtualNode::crash(Millis downtime)
{
    if (!state_)
        return;
    // The crash loses at most the totals that the store does not hold yet.
    std::string stored = store_.valueOf(usageNodePrefix + name_ + "." + std::to_string(incarnation_));
    maxLostRequests_
        += requestsIn(state_->totals) - requestsIn(windowUsageFromJson(parseJsonOrDiscard(stored)));
    state_.reset();
    time_.after(downtime, [this] { start(); });
}

bool VirtualNode::isRunning() const { return state_ && time_.now() >= pausedUntil_; }

void VirtualNode::whenRunning(std::function<void(State&)> action)
{
    std::weak_ptr<State> process = state_;
    Millis wait = std::max(Millis(0), std::chrono::duration_cast<Millis>(pausedUntil_ - time_.now()));
    time_.after(wait, [this, process, action = std::move(action)]() mutable {
        std::shared_ptr<State> state = process.lock();
        if (!state || state != state_)
            return;
        if (time_.now() < pausedUntil_)
            whenRunning(std::move(action));
        else
            action(*state);
    });
}

void VirtualNode::runStoreOps(StoreOps ops, OnAnswer onAnswer)
{
    for (StoreOp& op : ops) {
        store_.execute(std::move(op), isPartitioned_,
            [this, onAnswer, process = std::weak_ptr<State>(state_)](const StoreAnswer& answer) {
                if (process.lock() != state_ || !state_)
                    return;
                whenRunning([this, onAnswer, answer](
                                State& state) { runStoreOps(onAnswer(state, answer), onAnswer); });
            });
    }
}

Authority VirtualNode::authorityOf(const LeaseKeeper& lease) const
{
    if (!lease.isHeld(time_.now()))
        return {};
    return {lease.epoch(), lease.isQuietPeriodOver(time_.now())};
}

void VirtualNode::sendUnderLease(Instant authorityEnd, std::function<SendOutcome()> deliver,
    std::function<void(State&, SendOutcome)> onResult)
{
    if (time_.now() + sendBound > authorityEnd && isEnabled(Mechanism::ReportUnderAuthority)) {
        onResult(*state_, SendOutcome::Unknown);
        return;
    }
    if (chance(0.05))
        pause(delay(100, 6000));
    whenRunning([this, authorityEnd, deliver = std::move(deliver), onResult = std::move(onResult)](State&) {
        bool isConnectionClosed = time_.now() >= authorityEnd && isEnabled(Mechanism::CloseOnExpiry);
        auto outcome = std::make_shared<SendOutcome>(SendOutcome::Unknown);
        bool isDelivered = !isConnectionClosed && !chance(0.1);
        Millis transit = delay(0, sendBound.count() - 1);
        if (isDelivered)
            time_.after(transit, [outcome, deliver] { *outcome = deliver(); });
        bool isAnswerLost = chance(0.3);
        // If the answer is lost, the sender may give up before its request arrives.
        time_.after(isAnswerLost ? delay(1, transit.count() + 1) : transit + Millis(1),
            [this, outcome, isAnswerLost, onResult, process = std::weak_ptr<State>(state_)] {
                if (process.lock() == state_ && state_)
                    whenRunning([outcome, isAnswerLost, onResult](State& state) {
                        onResult(state, isAnswerLost ? SendOutcome::Unknown : *outcome);
                    });
            });
    });
}

void VirtualNode::tick()
{
    if (!isRunning())
        return;
    State& state = *state_;
    Instant now = time_.now();
    runStoreOps(state.fleetLease.tick(now), [this](State& current, const StoreAnswer& answer) {
        return current.fleetLease.onAnswer(time_.now(), answer);
    });
    runStoreOps(state.usageLease.tick(now), [this](State& current, const StoreAnswer& answer) {
        return current.usageLease.onAnswer(time_.now(), answer);
    });
    runStoreOps(state.journal.tick(now, authorityOf(state.fleetLease)),
        [this](State& current, const StoreAnswer& answer) {
            return current.journal.onAnswer(time_.now(), answer);
        });
    std::uint64_t epoch = state.fleetLease.epoch();
    auto checksFencing
        = [](const std::string& endpoint) { return endpoint == SimulatedEnvironment::checkingEndpoint; };
    for (EndpointOrder& order : state.journal.takeSends(now, authorityOf(state.fleetLease), checksFencing)) {
        order.epoch = epoch;
        sendUnderLease(
            state.fleetLease.authorityEnd(), [this, order] { return environment_.receiveOrder(order); },
            [this, number = order.number](State& current, SendOutcome outcome) {
                current.journal.onSendResult(time_.now(), number, outcome);
            });
    }
    tickReport(state);
    runStoreOps(state.config.tick(now), [this](State& current, const StoreAnswer& answer) {
        return current.config.onAnswer(time_.now(), answer);
    });
    state.config.takeAdopted();
    if (state.config.version() < state.lastVersion)
        environment_.addViolation("a node reverted to an older version of the configuration");
    state.lastVersion = state.config.version();
    runStoreOps(state.flusher.tick(now, state.totals), [this](State& current, const StoreAnswer& answer) {
        return current.flusher.onAnswer(time_.now(), answer);
    });
}

void VirtualNode::tickReport(State& state)
{
    Instant now = time_.now();
    Authority authority = authorityOf(state.usageLease);
    runStoreOps(state.closer.tick(now, now.time_since_epoch().count(), authority),
        [this](State& current, const StoreAnswer& answer) {
            return current.closer.onAnswer(time_.now(), answer);
        });
    std::optional<ClosedWindow> report = state.closer.takeReport(now, authority);
    if (!report)
        return;
    sendUnderLease(
        state.usageLease.authorityEnd(),
        [this, window = report->window, body = report->reportBody("0"), epoch = authority.epoch] {
            return environment_.receiveReport(window, body, epoch);
        },
        [window = report->window](
            State& current, SendOutcome outcome) { current.closer.onReportResult(window, outcome); });
}

void VirtualNode::submitOrder(EndpointOrder order)
{
    if (isRunning())
        state_->journal.submit(std::move(order));
}

void VirtualNode::publish(const std::string& changeId)
{
    if (!isRunning())
        return;
    auto publisher = std::make_shared<ConfigPublisher>(
        rulesText(changeId), state_->config.version(), changeId, state_->ids);
    state_->config.onPublishStarted();
    runStoreOps(publisher->start(), [this, publisher, changeId](State& current, const StoreAnswer& answer) {
        if (publisher->state() != PublishState::Running)
            return StoreOps{};
        StoreOps next = publisher->onAnswer(time_.now(), answer);
        if (publisher->state() != PublishState::Running) {
            current.config.onPublishEnded(
                time_.now(), publisher->state() != PublishState::Unknown, publisher->versionInForce());
            environment_.onOperatorAnswered(changeId, publisher->state());
        }
        return next;
    });
}

void VirtualNode::count(std::int64_t requests)
{
    state_->totals[time_.now().time_since_epoch().count() / usageWindow.count()]["riders"].requests
        += requests;
}

void VirtualNode::book(const std::string& booking, const std::string& attempt)
{
    if (!isRunning())
        return;
    std::int64_t latestEndMillis = (time_.now() + Millis(3000)).time_since_epoch().count();
    auto claim = std::make_shared<IdempotencyClaim>(
        "riders", booking, ClaimParameters{"the same request", attempt, Millis(600000), latestEndMillis});
    runStoreOps(claim->start(), [this, claim, booking, attempt](State&, const StoreAnswer& answer) {
        ClaimDecision before = claim->decision();
        StoreOps next = claim->onAnswer(answer, time_.now().time_since_epoch().count());
        if (before == ClaimDecision::Pending && claim->decision() == ClaimDecision::Proceed)
            dispatchBooking(claim, booking, attempt);
        else if (claim->decision() == ClaimDecision::StoreDown)
            environment_.onCallerAnswered(attempt, RunState::NotRun);
        return next;
    });
}

void VirtualNode::dispatchBooking(
    const std::shared_ptr<IdempotencyClaim>& claim, const std::string& booking, const std::string& attempt)
{
    HttpCallResult result;
    result.mayHaveBeenSent = !chance(0.1);
    bool arrives = result.mayHaveBeenSent && !chance(0.1);
    bool isAnswered = arrives && !chance(0.2);
    result.end = !result.mayHaveBeenSent ? CallEnd::NotConnected
        : isAnswered                     ? CallEnd::Complete
                                         : CallEnd::TimedOut;
    result.status = isAnswered ? 200 : 0;
    if (arrives)
        time_.after(
            delay(0, 200), [this, booking, attempt] { environment_.receiveBooking(booking, attempt); });
    time_.after(Millis(250), [this, claim, attempt, result, process = std::weak_ptr<State>(state_)] {
        if (process.lock() != state_ || !state_)
            return;
        whenRunning([this, claim, attempt, result](State&) {
            RunTracker tracker;
            tracker.onAttempt(result, false);
            environment_.onCallerAnswered(attempt, tracker.state());
            StoreOps ops = tracker.state() == RunState::Ran ? claim->record({200, "application/json", "{}"})
                : tracker.state() == RunState::NotRun       ? claim->abandon()
                                                            : claim->recordUnknown();
            runStoreOps(std::move(ops), [this, claim](State&, const StoreAnswer& answer) {
                return claim->onAnswer(answer, time_.now().time_since_epoch().count());
            });
        });
    });
}

void VirtualNode::receivePeerStatus(const PeerConfigStatus& peerStatus)
{
    if (isRunning())
        state_->config.onPeerConfigStatus(time_.now(), peerStatus);
}

PeerConfigStatus VirtualNode::peerStatus(Instant peerSentAt) const
{
    PeerConfigStatus outgoing;
    outgoing.peer = name_;
    outgoing.version = state_->config.version();
    outgoing.heartbeatSentAt = peerSentAt;
    outgoing.confirmedAt
        = peerSentAt - std::chrono::duration_cast<Millis>(time_.now() - state_->config.confirmedAt());
    outgoing.isStoreDown = state_->config.mayReportStoreDown(time_.now());
    return outgoing;
}

void VirtualNode::checkServing(const std::set<std::string>& others)
{
    if (isRunning() && state_->config.mayServeKeyed(time_.now(), others))
        environment_.onServedKeyed(
            state_->config.version(), time_.now(), freshnessBound + VirtualStore::maxReadStaleness);
}

} // namespace ragwortwinch::protocol
