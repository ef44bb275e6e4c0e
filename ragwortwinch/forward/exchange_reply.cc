// Handling of an endpoint's reply: relays it, or retries where allowed.
#include "ragwortwinch/forward/exchange.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/http_status.h"
#include "ragwortwinch/forward/local_reply.h"
#include "ragwortwinch/placement/prompt_parts.h"

#include <fmt/format.h>

namespace ragwortwinch {

namespace {

// Writing events to a caller whose connection is not full takes less.
constexpr Millis maxWriteTime{5};

} // namespace

void Exchange::onReplyHead(int status, std::string_view reason, const HttpFields& fields)
{
    countUsage();
    replyStatus_ = status;
    isEventReply_ = route_->kind == RouteKind::Stream && status == statusOk;
    bool isAccepted = isStreamStarted_ ? isEventReply_ : !isServerError(status);
    if (silent_ && isAccepted)
        dropSilent(AttemptEnd::Silent);
    // A resumed stream keeps the header from its first endpoint.
    if (isStreamStarted_)
        return;
    replyHead_ = relayedHead(status, reason, fields);
}

void Exchange::onReplyBody(std::string chunk)
{
    endSilenceProbe();
    if (isStreamStarted_ && !isEventReply_) {
        // The endpoint refused to resume the stream; its body is dropped.
        attempt_->resume();
        return;
    }
    if (isEventReply_) {
        settlePendingPrompt(true);
        std::string events = events_.append(chunk);
        if (events.empty() && events_.isEventTooLong())
            attempt_->endInvalid("an event of the reply is too long");
        else
            relayEvents(std::move(events));
        return;
    }
    if (replyBody_.append(chunk))
        attempt_->resume();
    else
        attempt_->endInvalid("the reply is too long, alone or together with others");
}

void Exchange::relayEvents(std::string events)
{
    if (events.empty()) {
        attempt_->resume();
        return;
    }
    learnTokenTime();
    isWriting_ = true;
    std::function<void()> onWritten = [self = shared_from_this()] { self->continueStream(); };
    if (isStreamStarted_) {
        sink_->writeStream(std::move(events), std::move(onWritten));
        return;
    }
    isStreamStarted_ = true;
    firstEventTime_ = context_.clock.now() - startedAt_;
    if (hasKvTransfer_)
        context_.kvTransfer.addSample(context_.clock.now() - sentAt_);
    context_.metrics.onFirstByte(route_->name, firstEventTime_);
    sink_->beginStream(replyHead_, std::move(events), std::move(onWritten));
}

void Exchange::learnTokenTime()
{
    if (!isForEngines())
        return;
    Instant now = context_.clock.now();
    std::uint64_t count = events_.eventCount();
    // While the caller took earlier events, the engine's may have waited unread.
    if (lastEventsAt_ && !wasCallerSlow_)
        attempt_->endpoint()->tokenTime.addTokens(
            static_cast<std::int64_t>(count - lastEventCount_), now - *lastEventsAt_, now);
    lastEventsAt_ = now;
    lastEventCount_ = count;
    wasCallerSlow_ = false;
}

void Exchange::continueStream()
{
    isWriting_ = false;
    if (lastEventsAt_)
        wasCallerSlow_ = context_.clock.now() - *lastEventsAt_ > maxWriteTime;
    if (isDone_)
        return;
    if (pendingEnd_) {
        AttemptEnd end = *pendingEnd_;
        pendingEnd_.reset();
        processAttemptEnd(end);
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
    processAttemptEnd(end);
}

void Exchange::reportToCrashDetector(const Attempt& attempt, AttemptEnd end, Instant sentAt)
{
    bool isAnswered = end == AttemptEnd::Complete && replyStatus_ == statusOk;
    bool isLost = end == AttemptEnd::Silent
        || (end == AttemptEnd::Broken && (attempt.hasLostConnection() || attempt.isDelimitedByClose()));
    if (isAnswered)
        context_.crashes.onAnswered(traits_);
    else if (isLost) {
        ++lostConnections_;
        context_.crashes.onConnectionLost(attempt.endpoint(), traits_, sentAt);
    }
}

bool Exchange::isStreamCut(const Attempt& attempt) const
{
    // An endpoint that crashes behind the head of its reply looks like this.
    bool isEmpty = attempt.isDelimitedByClose() && !events_.hasEventInReply();
    return isEmpty || events_.isInsideEvent();
}

void Exchange::processAttemptEnd(AttemptEnd end)
{
    std::shared_ptr<Attempt> attempt = std::move(attempt_);
    if (end == AttemptEnd::Complete && isEventReply_ && isStreamCut(*attempt))
        end = AttemptEnd::Broken;
    lastEnd_ = end;
    recordAttemptEnd(*attempt, end, sentAt_);
    if (silent_) {
        if (mayHaveRun(end))
            ++possibleRuns_;
        returnToSilent();
        return;
    }
    settlePendingPrompt(false);
    takeBackCache(*attempt, end);
    if (isStreamStarted_)
        onStreamEnd(end);
    else if (end == AttemptEnd::Complete)
        onReplyComplete();
    else
        handleFailure(end);
}

void Exchange::recordAttemptEnd(const Attempt& attempt, AttemptEnd end, Instant sentAt)
{
    reportToCrashDetector(attempt, end, sentAt);
    Instant now = context_.clock.now();
    UpstreamEndpoint& endpoint = *attempt.endpoint();
    context_.metrics.onAttemptEnd(service_, end);
    bool isSuccess = end == AttemptEnd::Complete && !isServerError(replyStatus_);
    if (isSuccess) {
        endpoint.outcomes.onSuccess(now);
        if (isForEngines())
            context_.slotReserve->onServed(service_, priority(), now - sentAt, now);
    } else if (end == AttemptEnd::NotConnected)
        endpoint.outcomes.onUnreachable(now);
    else if (end == AttemptEnd::Misdirected)
        endpoint.isMisdirected = true;
    else
        endpoint.outcomes.onFailure(now);
    if (!isSuccess && context_.log.shouldLogFailure(now))
        LogEvent("request.attempt_failed", Severity::Warning)
            .with("request", request_->caller.id)
            .with("endpoint", endpoint.record.id)
            .with("end", attemptEndNames.name(end))
            .with("problem", attempt.problem())
            .with("status", end == AttemptEnd::Complete ? replyStatus_ : 0)
            .with("send", attempts_)
            .with("kept_connection", attempt.hasReusedChannel())
            .with("identity", fmt::format("{:x}", traits_.whole()))
            .with("shared_parts", partIdsText(sharedPartIds(request_->caller.promptParts)))
            .with("after_event", events_.lastId());
    if (mayHaveRun(end))
        mayHaveRun_ = true;
    else
        ++attemptsNotRun_;
}

void Exchange::onStreamEnd(AttemptEnd end)
{
    if (end == AttemptEnd::Complete && isEventReply_) {
        sink_->endStream(events_.rest());
        if (isForEngines() && events_.eventCount() > 1)
            context_.metrics.onTokenTime(service_,
                static_cast<double>((context_.clock.now() - startedAt_ - firstEventTime_).count())
                    / static_cast<double>(events_.eventCount() - 1));
        finish(RequestOutcome::Answered, statusOk);
        return;
    }
    if (!tryRetry(mayHaveRun(end))) {
        sink_->abort();
        finish(RequestOutcome::BrokenOff, replyStatus_);
    }
}

void Exchange::onReplyComplete()
{
    std::string body = isEventReply_ ? events_.rest() : replyBody_.take();
    if (isServerError(replyStatus_) && route_->mayRetry()) {
        fallbackReply_ = FallbackReply{replyStatus_, replyHead_, std::move(body)};
        if (tryRetry(true))
            return;
        body = std::move(fallbackReply_->body);
    }
    // Callers would repeat the request, which may run twice then. Endpoints that have not run a request say
    // so in a field of the reply, and the attempt ends as NotExecuted.
    if (promisesNotRun(replyStatus_) && !route_->mayRetry()) {
        fail(statusBadGateway, RequestOutcome::Failed, ErrorKind::OutcomeUnknown,
            fmt::format(
                "the endpoint answered {} without stating that the request was not run; it may have run",
                replyStatus_));
        return;
    }
    finishWhole(replyStatus_, replyHead_, std::move(body));
}

void Exchange::handleFailure(AttemptEnd end)
{
    if (tryRetry(mayHaveRun(end)))
        return;
    if (fallbackReply_)
        finishWhole(fallbackReply_->status, std::move(fallbackReply_->head), std::move(fallbackReply_->body));
    else if (mayHaveRun_)
        fail(statusBadGateway, RequestOutcome::Failed, ErrorKind::OutcomeUnknown,
            "the endpoint broke off; the request may have run");
    else
        refuse(ErrorKind::NoCapacity, "the endpoints have no room; the request was not run",
            capacityRetryAfter());
}

bool Exchange::tryRetry(bool attemptMayHaveRun)
{
    if (attemptMayHaveRun)
        ++possibleRuns_;
    // An attempt that was never sent puts no load on endpoints, so its retry is free.
    bool isFree = isUnsent(lastEnd_);
    if (!mayRetry(retryState()) || (!isFree && !takeRetry(context_.clock.now())))
        return false;
    if (isFree || lastEnd_ == AttemptEnd::NotExecuted || lastEnd_ == AttemptEnd::Misdirected)
        context_.metrics.onRetryNotRun(service_, lastEnd_);
    if (mustPrefillAgain()) {
        hasPrefilledAgain_ = true;
        releaseCache();
        // Engines that could not fetch the old cache may fetch the new one.
        tried_.clear();
        placePrompt();
    } else
        place();
    return true;
}

void Exchange::takeBackCache(const Attempt& attempt, AttemptEnd end)
{
    if (sentCacheHolder_ && !mayHaveRun(end)) {
        cacheSource_ = sentCacheSource_;
        cacheHolder_ = sentCacheHolder_;
        // Refusals of full engines and other ends say nothing about the cache.
        const UpstreamEndpoint& endpoint = *attempt.endpoint();
        if (end == AttemptEnd::NotExecuted && endpoint.load() < endpoint.record.slots)
            ++refusedFetches_;
    }
    sentCacheSource_.clear();
    sentCacheHolder_.reset();
}

void Exchange::releaseCache()
{
    if (cacheHolder_)
        freeHandle(context_, cacheHolder_, cacheSource_.substr(cacheSource_.find('/') + 1));
    cacheSource_.clear();
    cacheHolder_.reset();
}

bool Exchange::mustPrefillAgain() const
{
    return cacheHolder_ && refusedFetches_ >= context_.options.maxRefusedFetches && !hasPrefilledAgain_
        && !mayHaveRun_ && !isStreamStarted_;
}

RetryState Exchange::retryState() const
{
    RetryState state;
    state.attempts = attempts_ - attemptsNotRun_;
    state.maxAttempts = context_.options.maxAttempts;
    state.attemptsNotRun = attemptsNotRun_;
    state.maxAttemptsNotRun = context_.options.maxAttemptsNotRun;
    state.mayHaveRun = mayHaveRun_;
    state.isRepeatable = route_->mayRetry();
    state.maxEndpoints = route_->maxEndpoints;
    state.possibleRuns = possibleRuns_;
    state.lostConnections = lostConnections_;
    state.isStreamStarted = isStreamStarted_;
    state.hasEventId = !events_.lastId().empty();
    state.isPastDeadline = context_.clock.now() >= deadline_;
    return state;
}

bool Exchange::takeRetry(Instant now)
{
    if (!context_.retryBudgetOf(service_).tryTake(now)) {
        context_.metrics.onRetryBudgetEmpty(service_);
        return false;
    }
    context_.metrics.onRetry(service_);
    return true;
}

} // namespace ragwortwinch
