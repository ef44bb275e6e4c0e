// Ensures that a request with an idempotency key runs at most once, whichever nodes receive it.
//
//     IdempotencyClaim claim("riders", key, { requestHash, attemptId, retention, latestEndMillis });
//     run(claim.start());
//     run(claim.onAnswer(answer, unixMillis));       // until claim.decision() is not Pending
//     ...dispatch when Proceed...
//     run(claim.record(outcome));        // until claim.isSettled()
//
// Creates a claim in the store before dispatch, unless one exists, and records the outcome there afterwards.
// A repeated request gets the recorded outcome, "still running" or "outcome unknown". Not thread-safe; reads
// no clock.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <string>

namespace ragwortwinch {

// The response that a repeated request gets.
struct RecordedOutcome {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimDecision {
    Pending,
    // This attempt holds the claim: dispatch the request once.
    Proceed,
    // The request has run: `outcome` holds its response.
    Replay,
    // Another attempt holds the claim and has not recorded an outcome yet.
    StillRunning,
    // The attempt that holds the claim ended without a known outcome.
    OutcomeUnknown,
    // The key was already used for a different request.
    DifferentRequest,
    // The store did not confirm a claim or is unreachable: nothing was dispatched.
    StoreDown,
};

struct ClaimParameters {
    // Distinguishes different requests under the same key.
    std::string requestHash;
    std::string attemptId;
    // How long the store keeps the claim and its outcome.
    Millis retention{0};
    // The time by which the attempt is certain to have ended, in milliseconds since 1970. If no outcome is
    // recorded by then, it counts as unknown.
    std::int64_t latestEndMillis = 0;
};

class IdempotencyClaim {
public:
    IdempotencyClaim(const std::string& team, const std::string& idempotencyKey, ClaimParameters parameters);

    // Both return the store operations to execute next; pass the store's answers to `onAnswer`.
    StoreOps start();
    StoreOps onAnswer(const StoreAnswer& answer, std::int64_t unixMillis);
    ClaimDecision decision() const { return decision_; }
    const RecordedOutcome& outcome() const { return outcome_; }

    // After `Proceed`, call exactly one of these three, then pass answers to `onAnswer` until `isSettled`.
    StoreOps record(const RecordedOutcome& outcome);
    StoreOps recordUnknown();
    // Removes the claim of a request that was not run, so that a repeated request may run.
    StoreOps abandon();
    bool isSettled() const { return step_ == Step::Settled; }

private:
    enum class Step { Claiming, ReadingBack, Claimed, Recording, Settled };

    std::string claimValue(const char* state) const;
    StoreOps claim();
    StoreOps readBack();
    // Stores the decision; returns no operations.
    StoreOps end(ClaimDecision decision);
    StoreOps onReadBack(const StoreAnswer& answer, std::int64_t unixMillis);
    StoreOps write(std::string value);
    void classifyExistingClaim(const std::string& text, std::int64_t unixMillis);

    // Applies to making the claim and, separately, to recording its outcome or removing it.
    static constexpr int maxTries = 4;

    OpIds ids_;
    std::string key_;
    ClaimParameters parameters_;
    Step step_ = Step::Claiming;
    ClaimDecision decision_ = ClaimDecision::Pending;
    // The id of the operation whose answer is awaited; 0 if none.
    std::uint64_t pendingOp_ = 0;
    std::uint64_t revision_ = 0;
    int tries_ = 0;
    // The value that replaces the claim; empty if the claim is to be removed.
    std::string finalValue_;
    RecordedOutcome outcome_;
};

} // namespace ragwortwinch
