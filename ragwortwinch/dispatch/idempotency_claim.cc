#include "ragwortwinch/dispatch/idempotency_claim.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace {

// A longer response body is recorded as empty.
constexpr std::size_t maxRecordedBytes = 64 * 1024;

} // namespace

IdempotencyClaim::IdempotencyClaim(
    const std::string& team, const std::string& idempotencyKey, ClaimParameters parameters)
    : key_("once/" + sha256Hex(team).substr(0, 16) + "/" + sha256Hex(idempotencyKey))
    , parameters_(std::move(parameters))
{
}

std::string IdempotencyClaim::claimValue(const char* state) const
{
    return Json({{"attempt", parameters_.attemptId}, {"request", parameters_.requestHash}, {"state", state},
                    {"latest_end", parameters_.latestEndMillis}})
        .dump();
}

StoreOps IdempotencyClaim::start() { return claim(); }

StoreOps IdempotencyClaim::claim()
{
    step_ = Step::Claiming;
    pendingOp_ = ids_.next();
    return {StoreOp::put(pendingOp_, key_, claimValue("running"), /*expected=*/0, parameters_.retention)};
}

StoreOps IdempotencyClaim::readBack()
{
    step_ = Step::ReadingBack;
    pendingOp_ = ids_.next();
    return {StoreOp::get(pendingOp_, key_)};
}

StoreOps IdempotencyClaim::end(ClaimDecision decision)
{
    decision_ = decision;
    step_ = decision == ClaimDecision::Proceed ? Step::Claimed : Step::Settled;
    return {};
}

StoreOps IdempotencyClaim::onAnswer(const StoreAnswer& answer, std::int64_t unixMillis)
{
    if (answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    switch (step_) {
    case Step::Claiming:
        if (!isEnabled(Mechanism::ClaimBeforeDispatch)
            || (answer.status == StoreStatus::Unknown && !isEnabled(Mechanism::ClaimReadBack)))
            return end(ClaimDecision::Proceed);
        if (answer.isOk()) {
            revision_ = answer.revision;
            return end(ClaimDecision::Proceed);
        }
        if (answer.status == StoreStatus::Unavailable)
            return end(ClaimDecision::StoreDown);
        return readBack();
    case Step::ReadingBack:
        return onReadBack(answer, unixMillis);
    case Step::Recording:
        // After a lost answer, retrying is safe: the revision check lets only one write succeed.
        if (answer.isOutage() && ++tries_ < maxTries)
            return write(finalValue_);
        step_ = Step::Settled;
        return {};
    case Step::Claimed:
    case Step::Settled:
        return {};
    }
    return {};
}

StoreOps IdempotencyClaim::onReadBack(const StoreAnswer& answer, std::int64_t unixMillis)
{
    if (answer.isOutage()) {
        if (++tries_ < maxTries)
            return readBack();
        return end(ClaimDecision::StoreDown);
    }
    if (answer.status == StoreStatus::NotFound) {
        // Either the write of the claim has not arrived, or another attempt was abandoned. Claiming again is
        // safe even if that write still arrives, since only one write can create the key.
        if (++tries_ < maxTries)
            return claim();
        return end(ClaimDecision::StoreDown);
    }
    Json value = parseJsonOrDiscard(answer.value);
    if (stringMember(value, "attempt") == parameters_.attemptId) {
        revision_ = answer.revision;
        return end(ClaimDecision::Proceed);
    }
    classifyExistingClaim(answer.value, unixMillis);
    return {};
}

void IdempotencyClaim::classifyExistingClaim(const std::string& text, std::int64_t unixMillis)
{
    Json value = parseJsonOrDiscard(text);
    std::string state = stringMember(value, "state");
    if (stringMember(value, "request") != parameters_.requestHash)
        end(ClaimDecision::DifferentRequest);
    else if (state == "ran") {
        outcome_.status = static_cast<int>(integerMember(value, "status"));
        outcome_.contentType = stringMember(value, "content_type");
        outcome_.body = stringMember(value, "body");
        end(ClaimDecision::Replay);
    } else if (state == "unknown" || unixMillis > integerMember(value, "latest_end"))
        end(ClaimDecision::OutcomeUnknown);
    else
        end(ClaimDecision::StillRunning);
}

StoreOps IdempotencyClaim::write(std::string value)
{
    checkInvariant(decision_ == ClaimDecision::Proceed, "claims.outcome_only_of_own_claim");
    finalValue_ = std::move(value);
    step_ = Step::Recording;
    pendingOp_ = ids_.next();
    if (finalValue_.empty())
        return {StoreOp::remove(pendingOp_, key_, revision_)};
    return {StoreOp::put(pendingOp_, key_, finalValue_, revision_, parameters_.retention)};
}

StoreOps IdempotencyClaim::record(const RecordedOutcome& outcome)
{
    tries_ = 0;
    Json value;
    value["attempt"] = parameters_.attemptId;
    value["request"] = parameters_.requestHash;
    value["state"] = "ran";
    value["status"] = outcome.status;
    value["content_type"] = outcome.contentType;
    value["body"] = outcome.body.size() <= maxRecordedBytes ? outcome.body : std::string();
    return write(value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

StoreOps IdempotencyClaim::recordUnknown()
{
    tries_ = 0;
    return write(claimValue("unknown"));
}

StoreOps IdempotencyClaim::abandon()
{
    tries_ = 0;
    return write({});
}

} // namespace ragwortwinch
