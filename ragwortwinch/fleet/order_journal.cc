#include "ragwortwinch/fleet/order_journal.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"

#include <algorithm>

namespace ragwortwinch {

OrderJournal::OrderJournal(
    std::string zone, std::string writer, OpIds& ids, Millis sendBound, Millis retryInterval)
    : zone_(std::move(zone))
    , writer_(std::move(writer))
    , ids_(ids)
    , sendBound_(sendBound)
    , retryInterval_(retryInterval)
{
}

bool OrderJournal::isUnfinished(const std::string& endpoint) const
{
    auto known = orders_.find(endpoint);
    return known != orders_.end() && !known->second.isDone;
}

SubmitResult OrderJournal::submit(EndpointOrder order)
{
    if (phase_ == Phase::WithoutAuthority || phase_ == Phase::Reading)
        return SubmitResult::NoAuthority;
    bool isStaged = std::any_of(staged_.begin(), staged_.end(),
        [&](const EndpointOrder& other) { return other.endpoint == order.endpoint; });
    if (isUnfinished(order.endpoint) || isStaged)
        return SubmitResult::Busy;
    staged_.push_back(std::move(order));
    return SubmitResult::Accepted;
}

bool OrderJournal::isSettled(Instant now) const
{
    bool isAnyUnfinished
        = std::any_of(orders_.begin(), orders_.end(), [](const auto& entry) { return !entry.second.isDone; });
    bool isAnyInFlight = std::any_of(stragglers_.begin(), stragglers_.end(),
        [now](const auto& entry) { return now < entry.second.inFlightUntil; });
    return staged_.empty() && !needsWrite_ && pendingOp_ == 0 && !isAnyUnfinished && !isAnyInFlight;
}

StoreOps OrderJournal::tick(Instant now, const Authority& authority)
{
    if (authority.epoch != epoch_) {
        // The lease was acquired, lost, or lost and reacquired: the state in memory is stale.
        epoch_ = authority.epoch;
        phase_ = epoch_ ? Phase::Reading : Phase::WithoutAuthority;
        pendingOp_ = 0;
        nextAttempt_ = now;
        nextSend_.clear();
        stragglers_.clear();
        staged_.clear();
    }
    if (pendingOp_ != 0 || now < nextAttempt_)
        return {};
    if (phase_ == Phase::Reading || phase_ == Phase::Verifying)
        return read();
    bool hasNew = std::any_of(staged_.begin(), staged_.end(),
        [this](const EndpointOrder& order) { return !isUnfinished(order.endpoint); });
    if (phase_ == Phase::Ready && (needsWrite_ || hasNew))
        return write();
    return {};
}

StoreOps OrderJournal::read()
{
    pendingOp_ = ids_.next();
    return {StoreOp::get(pendingOp_, key())};
}

StoreOps OrderJournal::write()
{
    // If an earlier read of the journal was stale, an order may be staged for an endpoint that has an
    // unfinished one. It waits until that one is done.
    std::vector<EndpointOrder> waiting;
    for (EndpointOrder& order : staged_) {
        if (isUnfinished(order.endpoint)) {
            waiting.push_back(std::move(order));
            continue;
        }
        order.number = ++lastNumber_;
        order.epoch = epoch_;
        orders_[order.endpoint] = std::move(order);
    }
    staged_ = std::move(waiting);
    needsWrite_ = false;
    if (!isEnabled(Mechanism::JournalBeforeSend))
        scheduleSends();
    phase_ = Phase::Writing;
    pendingOp_ = ids_.next();
    return {StoreOp::put(pendingOp_, key(), serialize(), revision_)};
}

std::string OrderJournal::serialize()
{
    writeTag_ = writer_ + "/" + std::to_string(epoch_) + "/" + std::to_string(++writeCount_);
    Json document;
    document["tag"] = writeTag_;
    document["last_number"] = lastNumber_;
    Json list = Json::array();
    for (const auto& entry : orders_) {
        const EndpointOrder& order = entry.second;
        list.push_back({{"endpoint", order.endpoint}, {"kind", orderKindNames.name(order.kind)},
            {"argument", order.argument}, {"number", order.number}, {"epoch", order.epoch},
            {"done", order.isDone}});
    }
    document["orders"] = std::move(list);
    return document.dump();
}

void OrderJournal::load(const std::string& text)
{
    orders_.clear();
    Json document = parseJsonOrDiscard(text);
    lastNumber_ = std::max(lastNumber_, static_cast<std::uint64_t>(integerMember(document, "last_number")));
    if (!document.is_object() || !document.contains("orders"))
        return;
    for (const Json& item : document["orders"]) {
        EndpointOrder order;
        order.endpoint = stringMember(item, "endpoint");
        order.kind = orderKindNames.parse(stringMember(item, "kind")).value_or(OrderKind::SetRole);
        order.argument = stringMember(item, "argument");
        order.number = static_cast<std::uint64_t>(integerMember(item, "number"));
        order.epoch = static_cast<std::uint64_t>(integerMember(item, "epoch"));
        order.isDone = booleanMember(item, "done");
        orders_[order.endpoint] = order;
    }
}

StoreOps OrderJournal::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (phase_ == Phase::Writing)
        onWriteAnswer(now, answer);
    else
        onReadAnswer(now, answer);
    return {};
}

void OrderJournal::onReadAnswer(Instant now, const StoreAnswer& answer)
{
    if (answer.isOutage()) {
        nextAttempt_ = now + retryInterval_;
        return;
    }
    if (phase_ == Phase::Verifying) {
        bool isOwnWrite = answer.isOk() && stringMember(parseJsonOrDiscard(answer.value), "tag") == writeTag_;
        bool isUnchanged = answer.revision == revision_;
        if (isOwnWrite) {
            revision_ = answer.revision;
            scheduleSends();
            return;
        }
        if (isUnchanged) {
            // The write may still arrive, so repeat it; the revision check lets only one of the two succeed.
            phase_ = Phase::Ready;
            needsWrite_ = true;
            return;
        }
    }
    revision_ = answer.isOk() ? answer.revision : 0;
    load(answer.isOk() ? answer.value : std::string());
    // Take over the former holder's unfinished orders: the next write stores them under this node's epoch.
    for (auto& entry : orders_) {
        if (!entry.second.isDone)
            entry.second.epoch = epoch_;
        if (!isEnabled(Mechanism::JournalAdoption))
            entry.second.isDone = true;
    }
    phase_ = Phase::Ready;
    needsWrite_ = true;
}

void OrderJournal::onWriteAnswer(Instant now, const StoreAnswer& answer)
{
    switch (answer.status) {
    case StoreStatus::Ok:
        revision_ = answer.revision;
        scheduleSends();
        return;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        // Another node has written, so the lease is probably lost. Unwritten orders must not be sent.
        LogEvent("orders.write_conflict", Severity::Warning).with("zone", zone_).with("epoch", epoch_);
        nextSend_.clear();
        phase_ = Phase::Reading;
        nextAttempt_ = now + retryInterval_;
        return;
    case StoreStatus::Unavailable:
        phase_ = Phase::Ready;
        needsWrite_ = true;
        nextAttempt_ = now + retryInterval_;
        return;
    case StoreStatus::Unknown:
        phase_ = Phase::Verifying;
        nextAttempt_ = now + retryInterval_;
        return;
    }
}

void OrderJournal::scheduleSends()
{
    phase_ = Phase::Ready;
    for (const auto& entry : orders_) {
        const EndpointOrder& order = entry.second;
        if (!order.isDone && order.epoch == epoch_)
            nextSend_.try_emplace(order.number, Instant::min());
    }
}

std::vector<EndpointOrder> OrderJournal::takeSends(
    Instant now, const Authority& authority, const std::function<bool(const std::string&)>& checksFencing)
{
    std::vector<EndpointOrder> sends;
    if (authority.epoch == 0 || authority.epoch != epoch_)
        return sends;
    for (const auto& entry : orders_) {
        const EndpointOrder& order = entry.second;
        auto due = nextSend_.find(order.number);
        if (order.isDone || due == nextSend_.end() || now < due->second)
            continue;
        bool isFenced = !order.isToPlatform() && checksFencing(order.endpoint);
        if (!isFenced && !authority.isQuietPeriodOver)
            continue;
        auto straggler = stragglers_.find(order.endpoint);
        bool isEarlierInFlight = straggler != stragglers_.end() && straggler->second.number != order.number
            && now < straggler->second.inFlightUntil;
        if (isEarlierInFlight && isEnabled(Mechanism::StragglerWait))
            continue;
        checkInvariant(order.epoch == authority.epoch, "orders.sent_under_own_epoch");
        due->second = Instant::max();
        sends.push_back(order);
    }
    return sends;
}

void OrderJournal::onSendResult(Instant now, std::uint64_t number, SendOutcome outcome)
{
    auto due = nextSend_.find(number);
    for (auto& entry : orders_) {
        EndpointOrder& order = entry.second;
        if (order.number != number)
            continue;
        if (outcome == SendOutcome::Unknown) {
            stragglers_[order.endpoint] = {number, now + sendBound_};
            if (due != nextSend_.end())
                due->second = now + retryInterval_;
            return;
        }
        LogEvent("orders.result")
            .with("zone", zone_)
            .with("endpoint", order.endpoint)
            .with("number", number)
            .with("outcome", sendOutcomeNames.name(outcome));
        // Sent before the lease changed or a write conflicted, which clears the send times.
        if (due == nextSend_.end())
            return;
        order.isDone = true;
        needsWrite_ = true;
        nextSend_.erase(due);
        return;
    }
}

} // namespace ragwortwinch
