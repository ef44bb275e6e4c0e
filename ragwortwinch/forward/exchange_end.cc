// The end of an exchange: local replies, cleanup, usage, metrics and logs.
#include "ragwortwinch/forward/exchange.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/http_status.h"
#include "ragwortwinch/forward/local_reply.h"

namespace ragwortwinch {

void Exchange::finishWhole(int status, std::string head, std::string body)
{
    context_.metrics.onFirstByte(route_->name, context_.clock.now() - startedAt_);
    sink_->sendWhole(std::move(head), std::move(body), request_->method == "HEAD");
    finish(isServerError(status) ? RequestOutcome::EndpointError : RequestOutcome::Answered, status);
}

void Exchange::refuse(ErrorKind kind, const std::string& message, std::optional<Millis> retryAfter)
{
    sendLocalReply(statusUnavailable, kind, message, retryAfter.value_or(context_.options.retryAfter));
    finish(RequestOutcome::Refused, statusUnavailable);
}

void Exchange::reject(int status, ErrorKind kind, const std::string& message)
{
    sendLocalReply(status, kind, message, Millis(0));
    finish(RequestOutcome::Rejected, status);
}

void Exchange::fail(int status, RequestOutcome outcome, ErrorKind kind, const std::string& message)
{
    sendLocalReply(status, kind, message, Millis(0));
    finish(outcome, status);
}

void Exchange::sendLocalReply(int status, ErrorKind kind, const std::string& message, Millis retryAfter)
{
    localReplyMessage_ = message;
    std::string head = localReplyHead(status, retryAfter);
    context_.codec.appendLocalReply(head, request_->caller.id);
    sink_->sendWhole(std::move(head), errorBody(kind, message), request_->method == "HEAD");
}

bool Exchange::cancelIfUnwanted()
{
    if (sink_->endIfCallerGone()) {
        context_.metrics.onSendDropped(service_);
        return true;
    }
    if (silent_)
        armOverlapTimer();
    return false;
}

void Exchange::cancel()
{
    if (isDone_)
        return;
    sink_ = nullptr;
    finish(RequestOutcome::CallerGone, 0);
}

void Exchange::finish(RequestOutcome outcome, int status)
{
    if (isDone_)
        return;
    isDone_ = true;
    refundIfNotRun(outcome);
    deadlineTimer_.cancel();
    if (attempt_)
        attempt_->cancel();
    attempt_.reset();
    endSilent();
    endSilenceProbe();
    if (prefill_)
        prefill_->cancel();
    prefill_.reset();
    settlePendingPrompt(false);
    releaseCache();
    logEnd(outcome, status);
    std::function<void()> onDone = std::move(onDone_);
    onDone_ = nullptr;
    if (outcome != RequestOutcome::CallerGone && onDone)
        onDone();
}

void Exchange::refundIfNotRun(RequestOutcome outcome)
{
    bool isNotRun = outcome == RequestOutcome::Refused
        || (outcome == RequestOutcome::CallerGone && !mayRunOrHaveRun() && !hasStartedPrefill_);
    if (charged_ && isNotRun)
        context_.allowance.locked()->refund(team_->name, *charged_, context_.clock.now());
    charged_.reset();
}

void Exchange::countUsage()
{
    if (isUsageCounted_ || !team_)
        return;
    isUsageCounted_ = true;
    UsageFigures figures;
    figures.requests = 1;
    figures.promptTokens = request_->caller.promptTokens;
    context_.usage.add(team_->name, figures, context_.clusterUnixMillis());
}

void Exchange::logEnd(RequestOutcome outcome, int status)
{
    Instant now = context_.clock.now();
    Millis duration = now - startedAt_;
    std::string route = route_ ? route_->name : "none";
    context_.metrics.onRequestEnd(route, outcome, duration);
    bool isAnswered = outcome == RequestOutcome::Answered;
    if (isAnswered ? !context_.log.shouldLogSuccess(request_->caller.id)
                   : !context_.log.shouldLogFailure(now))
        return;
    LogEvent("request.end", isAnswered ? Severity::Info : Severity::Warning)
        .with("request", request_->caller.id)
        .with("route", route)
        .with("team", team_ ? team_->name : "none")
        .with("config", traffic_ ? traffic_->version() : 0)
        .with("outcome", requestOutcomeNames.name(outcome))
        .with("status", status)
        .with("reason", localReplyMessage_)
        .with("endpoint", lastEndpoint_)
        .with("last_attempt", attempts_ ? attemptEndNames.name(lastEnd_) : "none")
        .with("sends", attempts_)
        .with("sends_not_run", attemptsNotRun_)
        .with("refused_fetches", refusedFetches_)
        .with("prefilled_again", hasPrefilledAgain_)
        .with("prefilled", hasStartedPrefill_)
        .with("prompt_engine", promptEngine_)
        .with("to_read", tokensToPrefill_)
        .with("ahead", queuedTokens_)
        .with("slowness", assumedSlowness_)
        .with("late_lane", promptPriority_ == PromptPriority::Late)
        .with("estimate_ms", estimatedTimeToFirstToken_.count())
        .with("reserve", reservedSlots_)
        .with("took_reserved", hasTakenReservedSlot_)
        .with("prefill_ms", prefillTime_.count())
        .with("first_ms", firstEventTime_.count())
        .with("expected_token_ms", expectedTokenMillis_)
        .with("events", events_.eventCount())
        .with("limit_ms", route_ ? (deadline_ - startedAt_).count() : 0)
        .with("ms", duration.count());
}

} // namespace ragwortwinch
