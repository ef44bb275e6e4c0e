#include "ragwortwinch/lease/lease_keeper.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/store/store_era.h"

#include <utility>

namespace ragwortwinch {

LeaseKeeper::LeaseKeeper(
    std::string duty, std::string node, std::string incarnation, OpIds& ids, LeaseOptions options)
    : duty_(std::move(duty))
    , node_(std::move(node))
    , incarnation_(std::move(incarnation))
    , ids_(ids)
    , options_(options)
{
}

std::string LeaseKeeper::makeValue()
{
    // After a lost answer, the attempt number identifies the write of this keeper.
    Json value;
    value["holder"] = node_;
    value["incarnation"] = incarnation_;
    value["attempt"] = ++attempt_;
    return value.dump();
}

StoreOps LeaseKeeper::tick(Instant now)
{
    if (state_ == LeaseState::Held && now >= authorityEnd_)
        onLost(now, "expired");
    if (state_ == LeaseState::Held && isReleaseRequested_) {
        state_ = LeaseState::Releasing;
        isReleaseRequested_ = false;
        isWanted_ = false;
        pendingOp_ = ids_.next();
        pendingSentAt_ = now;
        LogEvent("lease.release").with("duty", duty_).with("epoch", epoch_);
        return {StoreOp::put(pendingOp_, key(), R"({"released":true})", revision_)};
    }
    if (state_ == LeaseState::Held && now >= nextRenewalAt_ && pendingOp_ == 0) {
        pendingOp_ = ids_.next();
        pendingSentAt_ = now;
        return {StoreOp::keepAlive(pendingOp_, key(), revision_, options_.ttl, storeLease_)};
    }
    if (state_ == LeaseState::Idle && isWanted_ && now >= nextAttemptAt_)
        return read(now);
    return {};
}

StoreOps LeaseKeeper::read(Instant now)
{
    state_ = LeaseState::Reading;
    pendingOp_ = ids_.next();
    pendingSentAt_ = now;
    return {StoreOp::get(pendingOp_, key())};
}

StoreOps LeaseKeeper::acquire(Instant now, std::uint64_t expectedRevision, bool isReleased)
{
    state_ = LeaseState::Acquiring;
    isAcquiringReleasedLease_ = isReleased;
    value_ = makeValue();
    pendingOp_ = ids_.next();
    pendingSentAt_ = now;
    return {StoreOp::put(pendingOp_, key(), value_, expectedRevision, options_.ttl)};
}

StoreOps LeaseKeeper::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (answer.opId != pendingOp_ || pendingOp_ == 0)
        return {};
    pendingOp_ = 0;
    switch (state_) {
    case LeaseState::Reading:
        return onReadAnswer(now, answer);
    case LeaseState::Acquiring:
        onAcquireAnswer(now, answer);
        return {};
    case LeaseState::Held:
        onRenewAnswer(now, answer);
        return {};
    case LeaseState::Releasing:
        // The answer doesn't matter: this process has stopped sending, and a lease that wasn't released
        // expires.
        state_ = LeaseState::Idle;
        epoch_ = 0;
        holder_.clear();
        return {};
    case LeaseState::Idle:
        return {};
    }
    return {};
}

StoreOps LeaseKeeper::onReadAnswer(Instant now, const StoreAnswer& answer)
{
    if (answer.status == StoreStatus::NotFound) {
        holder_.clear();
        return acquire(now, 0, /*isReleased=*/false);
    }
    if (!answer.isOk()) {
        backOff(now);
        return {};
    }
    Json value = parseJsonOrDiscard(answer.value);
    if (booleanMember(value, "released"))
        return acquire(now, answer.revision, /*isReleased=*/true);
    holder_ = stringMember(value, "holder");
    bool isUnconfirmedAcquisition = !unconfirmedValue_.empty() && answer.value == unconfirmedValue_;
    if (isUnconfirmedAcquisition) {
        pendingSentAt_ = unconfirmedSentAt_;
        unconfirmedValue_.clear();
        // The former holder may have released the lease; the quiet period is then unneeded but harmless.
        onAcquired(now, answer, true);
        return {};
    }
    // Left by this process before it lost its authority, such as in the copy from which the store was
    // restored.
    bool isOwn = holder_ == node_ && stringMember(value, "incarnation") == incarnation_;
    if (isOwn)
        return acquire(now, answer.revision, /*isReleased=*/false);
    backOff(now);
    return {};
}

void LeaseKeeper::onAcquireAnswer(Instant now, const StoreAnswer& answer)
{
    if (answer.isOk()) {
        onAcquired(now, answer, !isAcquiringReleasedLease_ || !options_.skipsQuietPeriodAfterRelease);
        return;
    }
    if (answer.status == StoreStatus::Unknown) {
        unconfirmedValue_ = value_;
        unconfirmedSentAt_ = pendingSentAt_;
    }
    backOff(now);
}

Instant LeaseKeeper::authorityEndFor(Instant now) const
{
    return (isEnabled(Mechanism::LeaseFromSend) ? pendingSentAt_ : now) + options_.ttl - options_.margin;
}

void LeaseKeeper::onAcquired(Instant now, const StoreAnswer& answer, bool needsQuietPeriod)
{
    epoch_ = makeFencingToken(answer.era, answer.revision);
    revision_ = answer.revision;
    storeLease_ = answer.lease;
    checkInvariant(epoch_ > lastEpoch_, "lease.epoch_grows");
    lastEpoch_ = epoch_;
    holder_ = node_;
    state_ = LeaseState::Held;
    authorityEnd_ = authorityEndFor(now);
    acquiredAt_ = now;
    quietPeriodEnd_
        = needsQuietPeriod && isEnabled(Mechanism::QuietPeriod) ? now + options_.quietPeriod() : now;
    nextRenewalAt_ = pendingSentAt_ + options_.renewInterval();
    if (now >= authorityEnd_) {
        onLost(now, "answer_too_late");
        return;
    }
    LogEvent("lease.acquired")
        .with("duty", duty_)
        .with("epoch", epoch_)
        .with("quiet", needsQuietPeriod)
        .with("store_lease", storeLease_);
}

void LeaseKeeper::onRenewAnswer(Instant now, const StoreAnswer& answer)
{
    if (now >= authorityEnd_) {
        onLost(now, "expired");
        return;
    }
    if (answer.isOk()) {
        authorityEnd_ = std::max(authorityEnd_, authorityEndFor(now));
        nextRenewalAt_ = pendingSentAt_ + options_.renewInterval();
        return;
    }
    if (answer.status == StoreStatus::Conflict || answer.status == StoreStatus::NotFound) {
        onLost(now, "taken_over");
        return;
    }
    nextRenewalAt_ = now + std::min(options_.retryInterval, options_.renewInterval());
}

void LeaseKeeper::onLost(Instant now, const char* reason)
{
    LogEvent("lease.lost", Severity::Warning)
        .with("duty", duty_)
        .with("epoch", epoch_)
        .with("reason", reason);
    epoch_ = 0;
    pendingOp_ = 0;
    isReleaseRequested_ = false;
    holder_.clear();
    state_ = LeaseState::Idle;
    backOff(now);
}

void LeaseKeeper::onStoreRestored(Instant now)
{
    unconfirmedValue_.clear();
    if (state_ == LeaseState::Held)
        onLost(now, "store_restored");
    pendingOp_ = 0;
    epoch_ = 0;
    state_ = LeaseState::Idle;
    nextAttemptAt_ = now;
}

void LeaseKeeper::backOff(Instant now)
{
    state_ = LeaseState::Idle;
    nextAttemptAt_ = now + options_.retryInterval;
}

void LeaseKeeper::release()
{
    isReleaseRequested_ = true;
    isWanted_ = false;
}

} // namespace ragwortwinch
