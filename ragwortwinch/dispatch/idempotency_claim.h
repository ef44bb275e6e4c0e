// Makes a request with an idempotency key run at most once, whichever nodes it comes through.
//
//     IdempotencyClaim claim("chaba", key, { requestHash, attemptId, retention, latestEndMillis });
//     run(claim.start());
//     run(claim.onAnswer(answer, unixMillis));       // until claim.verdict() is not Pending
//     ...dispatch when Proceed...
//     run(claim.record(outcome));        // until claim.isSettled()
//
// A create-only claim goes to the store before dispatch and the outcome after it. A repeat gets the recorded
// outcome, "still running", or "outcome unknown". Not thread-safe; holds no clock.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <string>

namespace ragwortwinch {

// The answer that a repeat gets.
struct RecordedOutcome {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimDecision {
    Pending,
    // The claim is ours: dispatch once.
    Proceed,
    // It has run: `outcome` holds the answer.
    Replay,
    // Another attempt has the claim and no outcome is recorded yet.
    StillRunning,
    // The claim's attempt ended without a known outcome.
    OutcomeUnknown,
    // The key was used with a different request.
    DifferentRequest,
    // The store can't be asked: nothing was dispatched.
    StoreDown,
};

struct ClaimParameters {
    // Tells the same request from another under the same key.
    std::string requestHash;
    std::string attemptId;
    // How long the claim and its outcome are kept.
    Millis retention{0};
    // When the attempt has surely ended, in milliseconds since 1970; without an outcome it is unknown from
    // then on.
    std::int64_t latestEndMillis = 0;
};

class IdempotencyClaim {
public:
    IdempotencyClaim(const std::string& team, const std::string& idempotencyKey, ClaimParameters terms);

    StoreOps start();
    StoreOps onAnswer(const StoreAnswer& answer, std::int64_t unixMillis);
    ClaimDecision decision() const { return verdict_; }
    const RecordedOutcome& outcome() const { return outcome_; }

    // After `Proceed`, exactly one of the three. Then answers go to `onAnswer` until `isSettled`.
    StoreOps record(const RecordedOutcome& outcome);
    StoreOps recordUnknown();
    // The request was not run, so that a repeat may run.
    StoreOps abandon();
    bool isSettled() const { return step_ == Step::Settled; }

private:
    enum class Step { Claiming, ReadingBack, Claimed, Recording, Settled };

    std::string claimValue(const char* state) const;
    StoreOps claim();
    StoreOps readBack();
    StoreOps end(ClaimDecision decision);
    StoreOps onReadBack(const StoreAnswer& answer, std::int64_t unixMillis);
    StoreOps write(std::string value);
    void judgeOther(const std::string& text, std::int64_t unixMillis);

    static constexpr int maxTries = 4;

    OpIds ids_;
    std::string key_;
    ClaimParameters terms_;
    Step step_ = Step::Claiming;
    ClaimDecision verdict_ = ClaimDecision::Pending;
    std::uint64_t pendingOp_ = 0;
    std::uint64_t revision_ = 0;
    int tries_ = 0;
    std::string finalValue_;
    RecordedOutcome outcome_;
};

} // namespace ragwortwinch
