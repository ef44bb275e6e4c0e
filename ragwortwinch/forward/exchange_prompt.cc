// Prefill of an exchange's long prompt: by a prefill engine followed by a KV transfer, or by the engine that
// runs the request.
#include "ragwortwinch/forward/exchange.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>

namespace ragwortwinch {

bool Exchange::wantsPrefill() const
{
    if (!route_->hasPromptCache || !request_->caller.lastEventId.empty())
        return false;
    const ServiceRule* service = traffic_->findService(service_);
    return service && service->engine && request_->caller.promptTokens >= context_.options.minPrefillTokens;
}

void Exchange::placePrompt()
{
    if (endIfQuarantined())
        return;
    Millis elapsed = context_.clock.now() - startedAt_;
    PromptQuery prompt{request_->caller.promptParts, request_->caller.promptTokens,
        std::min(route_->targetLatency - elapsed, timeLeft()),
        Millis(static_cast<std::int64_t>(
            static_cast<double>(timeLeft().count()) * context_.options.lateTimeFraction)),
        context_.kvTransfer.millis()};
    PlacementQuery query = makeQuery();
    addReserve(query);
    std::optional<EngineChoice> choice = EngineChooser().choose(
        query, prompt, context_.endpoints.endpointsOf(service_), context_.clock.now());
    if (!choice) {
        refuse(ErrorKind::NoCapacity, "the engines can't read the prompt in time; it was not run",
            capacityRetryAfter());
        return;
    }
    promptPriority_ = choice->priority;
    estimatedTimeToFirstToken_ = choice->timeToFirstToken;
    tokensToPrefill_ = choice->tokensToPrefill;
    promptEngine_ = choice->engine->record.id;
    assumedSlowness_ = choice->engine->engineLoad.slowness();
    if (choice->engine->record.role == EngineRole::Prefill)
        startPrefill(*choice);
    else
        sendPrompt(*choice);
}

void Exchange::addPendingPrompt(const EngineChoice& choice)
{
    pendingPromptEngine_ = choice.engine;
    pendingPrompt_ = choice.engine->engineLoad.onSent(
        choice.tokensToPrefill, choice.priority, choice.networkMillis, context_.clock.now());
    queuedTokens_ = pendingPrompt_->queuedTokens;
    choice.engine->promptCache.onPrefilled(request_->caller.promptParts);
}

void Exchange::sendPrompt(const EngineChoice& choice)
{
    addPendingPrompt(choice);
    send(choice.engine);
}

void Exchange::startPrefill(const EngineChoice& choice)
{
    hasStartedPrefill_ = true;
    choice.engine->limit.take(context_.clock.now());
    addPendingPrompt(choice);
    ForwardedFields forwarded = forwardedFields(choice.engine);
    forwarded.isPrefill = true;
    AttemptOptions options = attemptOptions();
    // The reply isn't the caller's.
    options.needsSignature = false;
    // Another engine can prefill the prompt, so the timeout applies to routes without retries too.
    options.firstByteTimeout = failoverTimeout();
    options.maxIdleFraction = ChannelPool::usableIdleFraction;
    std::shared_ptr<PrefillStep> step = std::make_shared<PrefillStep>(
        context_, choice.engine, [self = shared_from_this()] { return self->cancelIfUnwanted(); },
        [self = shared_from_this()] { return self->mayEndSilentPrefill(); },
        [self = shared_from_this()](const PrefillResult& result) { self->onPrefillDone(result); });
    prefill_ = step;
    step->start(makeHead(forwarded), body_, options);
}

void Exchange::settlePendingPrompt(bool wasPrefilled)
{
    if (!pendingPrompt_)
        return;
    if (wasPrefilled)
        pendingPromptEngine_->engineLoad.onPrefilled(*pendingPrompt_, context_.clock.now());
    else
        pendingPromptEngine_->engineLoad.onDropped(*pendingPrompt_, context_.clock.now());
    pendingPrompt_.reset();
    pendingPromptEngine_.reset();
}

void Exchange::onPrefillDone(const PrefillResult& result)
{
    std::shared_ptr<PrefillStep> step = std::move(prefill_);
    if (isDone_)
        return;
    Instant now = context_.clock.now();
    settlePendingPrompt(!result.handle.empty());
    prefillTime_ = now - startedAt_;
    context_.metrics.onAttemptEnd(service_, result.end);
    if (!result.handle.empty()) {
        result.endpoint->outcomes.onSuccess(now);
        cacheSource_ = result.endpoint->record.address.text() + "/" + result.handle;
        cacheHolder_ = result.endpoint;
        place();
        return;
    }
    if (result.end == AttemptEnd::Misdirected)
        result.endpoint->isMisdirected = true;
    else if (result.end == AttemptEnd::NotConnected)
        result.endpoint->outcomes.onUnreachable(now);
    else if (result.end == AttemptEnd::NotExecuted)
        result.endpoint->outcomes.onRefused(now);
    else
        result.endpoint->outcomes.onFailure(now);
    if (context_.log.shouldLogFailure(now))
        LogEvent("request.prefill_failed", Severity::Warning)
            .with("request", request_->caller.id)
            .with("endpoint", result.endpoint->record.id)
            .with("end", attemptEndNames.name(result.end));
    // The next attempt counts as a retry if the failed prefill was sent. The route's retry rule doesn't
    // apply, since no engine has run the request.
    bool isRetry = !isUnsent(result.end);
    if (isRetry && !context_.retryBudgetOf(service_).tryTake(now)) {
        context_.metrics.onRetryBudgetEmpty(service_);
        refuse(ErrorKind::NoCapacity,
            "the engine did not read the prompt and the budget for repeats is empty; the request was not "
            "run");
        return;
    }
    tried_.push_back(result.endpoint.get());
    if (result.end == AttemptEnd::NotExecuted && ++refusedPrefills_ < context_.options.maxRefusedPrefills)
        placePrompt();
    else
        place();
}

} // namespace ragwortwinch
