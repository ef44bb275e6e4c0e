// Acquires and renews the lease of one duty, a task that only one node performs at a time, and tracks whether
// this process has authority to act on it.
//
//     LeaseKeeper keeper("fleet/north-cnx", "cnx-1", incarnation, ids, options);
//     run(keeper.tick(now));                    // store operations to execute
//     run(keeper.onAnswer(now, answer));        // their answers
//     if (keeper.isHeld(now)) send(order, keeper.epoch());
//
// Authority ends one TTL, less the margin, after the last successful acquisition or renewal was SENT. A
// renewal whose answer is lost does not extend it. The epoch is the fencing token, made of the store's era
// and its revision of the acquisition. Not thread-safe; uses no clock and no socket.
#pragma once

#include "ragwortwinch/base/mechanism.h"

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/lease/lease_options.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <cstdint>
#include <string>

namespace ragwortwinch {

enum class LeaseState {
    Idle,
    Reading,
    Acquiring,
    Held,
    Releasing,
};

inline constexpr NameTable<LeaseState, 5> leaseStateNames{{{
    {LeaseState::Idle, "idle"},
    {LeaseState::Reading, "reading"},
    {LeaseState::Acquiring, "acquiring"},
    {LeaseState::Held, "held"},
    {LeaseState::Releasing, "releasing"},
}}};

class LeaseKeeper {
public:
    // `incarnation` differs for each start of a node, so that a restarted node does not mistake a lease from
    // before the restart for its own. `ids` must outlive the keeper.
    LeaseKeeper(
        std::string duty, std::string node, std::string incarnation, OpIds& ids, LeaseOptions options);

    // Returns the operations to execute now. Call it at least once per retry interval.
    StoreOps tick(Instant now);
    // Handles an answer and returns the operations to execute now. Ignores answers to operations of other
    // keepers.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // The store came back from an older copy: the lease may belong to another, so authority ends at once.
    void onStoreRestored(Instant now);
    // Requests a release; the next `tick` that finds the lease held returns the operation. The lease is not
    // acquired again until `setWanted(true)`. Call it only when no send is in progress.
    void release();
    // Whether to try to acquire the lease; a held lease is kept.
    void setWanted(bool isWanted) { isWanted_ = isWanted; }

    bool isHeld(Instant now) const { return state_ == LeaseState::Held && now < authorityEnd_; }
    // True once it is also safe to send to receivers that do not check fencing tokens.
    bool isQuietPeriodOver(Instant now) const { return isHeld(now) && now >= quietPeriodEnd_; }
    // The fencing token; 0 once `tick` or an answer has found that the lease is not held.
    std::uint64_t epoch() const { return state_ == LeaseState::Held ? epoch_ : 0; }
    Instant authorityEnd() const { return authorityEnd_; }
    // When the lease was acquired, and when its last successful acquisition or renewal was sent.
    Instant acquiredAt() const { return acquiredAt_; }
    Instant confirmedAt() const { return authorityEnd_ - options_.ttl + options_.margin; }
    LeaseState state() const { return state_; }
    const std::string& duty() const { return duty_; }
    // This node while it holds the lease, else the holder last read from the store; empty if none is known.
    const std::string& holder() const { return holder_; }

private:
    std::string key() const { return "lease/" + duty_; }
    std::string makeValue();
    // The end of authority if the operation that was just answered succeeded.
    Instant authorityEndFor(Instant now) const;
    void onLost(Instant now, const char* reason);
    void onAcquired(Instant now, const StoreAnswer& answer, bool needsQuietPeriod);
    StoreOps read(Instant now);
    StoreOps acquire(Instant now, std::uint64_t expectedRevision, bool isReleased);
    StoreOps onReadAnswer(Instant now, const StoreAnswer& answer);
    void onAcquireAnswer(Instant now, const StoreAnswer& answer);
    void onRenewAnswer(Instant now, const StoreAnswer& answer);
    void backOff(Instant now);

    std::string duty_;
    std::string node_;
    std::string incarnation_;
    OpIds& ids_;
    LeaseOptions options_;

    LeaseState state_ = LeaseState::Idle;
    bool isWanted_ = true;
    bool isReleaseRequested_ = false;
    std::uint64_t pendingOp_ = 0;
    Instant pendingSentAt_;
    Instant nextAttemptAt_;
    Instant nextRenewalAt_;
    std::uint64_t attempt_ = 0;
    // The value of an acquisition whose answer was lost, and the time it was sent.
    std::string unconfirmedValue_;
    Instant unconfirmedSentAt_;
    bool isAcquiringReleasedLease_ = false;
    std::uint64_t epoch_ = 0;
    // The store's revision of the acquisition, and the store's lease to which the key is attached.
    std::uint64_t revision_ = 0;
    std::uint64_t storeLease_ = 0;
    std::uint64_t lastEpoch_ = 0;
    Instant authorityEnd_;
    Instant acquiredAt_;
    Instant quietPeriodEnd_;
    std::string value_;
    std::string holder_;
};

} // namespace ragwortwinch
