// What an exchange does with an endpoint's answer: relays it, or tries again where that is allowed.
#include "ragwortwinch/forward/exchange.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/internal/http_status.h"
#include "ragwortwinch/forward/internal/own_reply.h"

namespace ragwortwinch {

namespace {

using internal::isFinalFailure;
using internal::statusBadGateway;
using internal::statusOk;

// An answer that is held as a whole may have this many bytes.
constexpr std::size_t maxWholeAnswer = 16 * 1024 * 1024;

} // namespace

void Exchange::onReplyHead(int status, std::string_view reason, const HttpFields& fields)
{
    countUsage();
    replyStatus_ = status;
    isEventReply_ = route_->kind == RouteKind::Stream && status == statusOk;
    // A resumed stream keeps the header of its first endpoint.
    if (isStreamStarted_)
        return;
    replyHead_ = internal::relayedHead(status, reason, fields);
}

void Exchange::onReplyBody(std::string piece)
{
    if (isStreamStarted_ && !isEventReply_) {
        // The endpoint refuses to continue the stream.
        attempt_->resume();
        return;
    }
    if (isEventReply_) {
        closeTicket(true);
        relayEvents(events_.append(piece));
        return;
    }
    replyBody_ += piece;
    if (replyBody_.size() > maxWholeAnswer) {
        attempt_->cancel();
        judge(AttemptEnd::Broken);
        return;
    }
    attempt_->resume();
}

void Exchange::relayEvents(std::string events)
{
    if (events.empty()) {
        attempt_->resume();
        return;
    }
    isWriting_ = true;
    std::function<void()> onWritten = [self = shared_from_this()] { self->continueStream(); };
    if (isStreamStarted_) {
        sink_->writeStream(std::move(events), std::move(onWritten));
        return;
    }
    isStreamStarted_ = true;
    firstEventTime_ = context_.clock.now() - startedAt_;
    if (hasHandedOver_)
        context_.handOver.onDone(firstEventTime_ - prefillTime_);
    context_.metrics.onFirstByte(route_->name, firstEventTime_);
    sink_->beginStream(replyHead_, std::move(events), std::move(onWritten));
}

void Exchange::continueStream()
{
    isWriting_ = false;
    if (isDone_)
        return;
    if (pendingEnd_) {
        AttemptEnd end = *pendingEnd_;
        pendingEnd_.reset();
        judge(end);
        return;
    }
    if (attempt_)
        attempt_->resume();
}

void Exchange::onAttemptEnd(AttemptEnd end)
{
    if (isWriting_) {
        pendingEnd_ = end;
        return;
    }
    judge(end);
}

void Exchange::judge(AttemptEnd end)
{
    lastEnd_ = end;
    closeTicket(false);
    std::shared_ptr<Attempt> attempt = std::move(attempt_);
    Instant now = context_.clock.now();
    UpstreamEndpoint& endpoint = *attempt->endpoint();
    context_.metrics.onAttemptEnd(service_, end);
    bool isGood = end == AttemptEnd::Complete && !isFinalFailure(replyStatus_);
    if (isGood)
        endpoint.outcomes.onSuccess(now);
    else if (end == AttemptEnd::NotConnected)
        endpoint.outcomes.onUnreachable(now);
    else if (end == AttemptEnd::Misdirected)
        endpoint.isMisdirected = true;
    else
        endpoint.outcomes.onFailure(now);
    if (!isGood && context_.log.takeFailure(now))
        LogEvent("request.attempt_failed", Severity::Warning)
            .with("request", request_->caller.id)
            .with("endpoint", endpoint.record.id)
            .with("end", attemptEndNames.name(end))
            .with("status", end == AttemptEnd::Complete ? replyStatus_ : 0)
            .with("send", sends_)
            .with("kept_connection", attempt->usedKeptChannel())
            .with("after_event", events_.lastId());
    if (end == AttemptEnd::Broken || end == AttemptEnd::Silent || end == AttemptEnd::Complete)
        mayHaveRun_ = true;
    if (isStreamStarted_)
        onStreamEnd(end);
    else if (end == AttemptEnd::Complete)
        onWholeEnd();
    else
        afterFailure(end);
}

void Exchange::onStreamEnd(AttemptEnd end)
{
    if (end == AttemptEnd::Complete && isEventReply_) {
        sink_->endStream(events_.rest());
        finish(RequestOutcome::Answered, statusOk);
        return;
    }
    bool mayHaveRun
        = end != AttemptEnd::NotConnected && end != AttemptEnd::NotExecuted && end != AttemptEnd::Misdirected;
    if (!tryAgain(mayHaveRun)) {
        sink_->abort();
        finish(RequestOutcome::BrokenOff, replyStatus_);
    }
}

void Exchange::onWholeEnd()
{
    std::string body = isEventReply_ ? events_.rest() : std::move(replyBody_);
    if (isFinalFailure(replyStatus_) && route_->mayRetry()) {
        held_ = HeldReply{replyStatus_, replyHead_, std::move(body)};
        if (tryAgain(true))
            return;
        body = std::move(held_->body);
    }
    finishWhole(replyStatus_, replyHead_, std::move(body));
}

void Exchange::afterFailure(AttemptEnd end)
{
    bool mayHaveRun = end == AttemptEnd::Broken || end == AttemptEnd::Silent;
    if (tryAgain(mayHaveRun))
        return;
    if (held_)
        finishWhole(held_->status, std::move(held_->head), std::move(held_->body));
    else if (mayHaveRun_)
        fail(statusBadGateway, RequestOutcome::Failed, ErrorKind::OutcomeUnknown,
            "the endpoint broke off; the request may have run");
    else
        refuse(ErrorKind::NoCapacity, "the endpoints have no room; the request was not run");
}

bool Exchange::tryAgain(bool mayHaveRun)
{
    if (mayHaveRun)
        ++runs_;
    Instant now = context_.clock.now();
    bool isAllowed = mayHaveRun_ ? route_->mayRetry() && runs_ < route_->maxEndpoints : true;
    if (!isAllowed || sends_ >= context_.options.maxSends || now >= deadline_)
        return false;
    if (isStreamStarted_ && events_.lastId().empty())
        return false;
    // A send that never left this VM costs the endpoints nothing.
    if (lastEnd_ != AttemptEnd::NotConnected) {
        if (!context_.budgetOf(service_).tryTake(now)) {
            context_.metrics.onBudgetEmpty(service_);
            return false;
        }
        context_.metrics.onRepeat(service_);
    }
    place();
    return true;
}

} // namespace ragwortwinch
