#include "ragwortwinch/dispatch/plain_exchange.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/dispatch/error_response.h"

#include <algorithm>
#include <array>

namespace ragwortwinch {

namespace {

constexpr std::string_view idempotencyHeader = "Idempotency-Key";
// The caller's headers that are forwarded to a plain service; API keys and cookies are not.
constexpr std::array<std::string_view, 4> forwardedHeaders{
    "Content-Type", "Accept", "Accept-Language", idempotencyHeader};
// Added to twice the route's deadline: by then the attempt under a claim is certain to have ended.
constexpr Millis claimEndMargin{5000};

} // namespace

PlainExchange::PlainExchange(const DispatchContext& context, RequestPolicy policy, HttpRequest request,
    std::shared_ptr<HttpResponder> responder)
    : context_(context)
    , policy_(std::move(policy))
    , request_(std::move(request))
    , responder_(std::move(responder))
    , requestId_(context.ids.next())
    , deadline_(context.clock.now() + policy_.route.deadline)
    , cancellation_(context.scheduler)
{
    query_.service = policy_.route.service;
}

void PlainExchange::start()
{
    context_.metrics.requests.fetch_add(1);
    context_.metrics.active.fetch_add(1);
    context_.retries.onFirstTry();
    responder_->onClosed([weak = weak_from_this()] {
        std::shared_ptr<PlainExchange> self = weak.lock();
        if (self && self->cancellation_.cancel())
            self->endAfterDisconnect();
    });
    std::string key(request_.headers.get(idempotencyHeader));
    if (policy_.route.isIdempotent || key.empty()) {
        queue();
        return;
    }
    ClaimParameters claimParameters;
    claimParameters.requestHash
        = sha256Hex(request_.method + "\n" + request_.path + "\n" + request_.query + "\n" + request_.body);
    claimParameters.attemptId = requestId_;
    claimParameters.retention = policy_.limits.claimRetention;
    claimParameters.latestEndMillis
        = context_.clock.unixMillis() + (policy_.route.deadline * 2 + claimEndMargin).count();
    claim_.emplace(policy_.team, key, std::move(claimParameters));
    executeClaimOps(claim_->start());
}

void PlainExchange::executeClaimOps(StoreOps ops)
{
    std::shared_ptr<PlainExchange> self = shared_from_this();
    for (StoreOp& op : ops)
        context_.store.execute(
            std::move(op), [self](const StoreAnswer& storeAnswer) { self->onClaimAnswer(storeAnswer); });
}

void PlainExchange::onClaimAnswer(const StoreAnswer& storeAnswer)
{
    StoreOps ops = claim_->onAnswer(storeAnswer, context_.clock.unixMillis());
    if (!ops.empty()) {
        executeClaimOps(std::move(ops));
        return;
    }
    if (finalResponse_) {
        if (claim_->isSettled())
            answer(std::move(*finalResponse_));
        return;
    }
    if (claim_->decision() != ClaimDecision::Pending)
        onClaimDecided();
}

void PlainExchange::onClaimDecided()
{
    switch (claim_->decision()) {
    case ClaimDecision::Pending:
        return;
    case ClaimDecision::Proceed:
        queue();
        return;
    case ClaimDecision::Replay: {
        context_.metrics.replays.fetch_add(1);
        HttpResponse response;
        response.status = claim_->outcome().status;
        response.headers.add("Content-Type", claim_->outcome().contentType);
        response.headers.add("Idempotency-Replayed", "true");
        response.body = claim_->outcome().body;
        answer(std::move(response));
        return;
    }
    case ClaimDecision::StillRunning:
        answer(errorResponse({ErrorKind::StillRunning,
                                 "the first request with this key is still running; repeat with the same key "
                                 "in a few seconds"},
            RunState::OutcomeUnknown, 2));
        return;
    case ClaimDecision::OutcomeUnknown:
        answer(errorResponse({ErrorKind::OutcomeUnknown,
                                 "the first request with this key ended without a known outcome and is not "
                                 "repeated; look into the service's own records"},
            RunState::OutcomeUnknown));
        return;
    case ClaimDecision::DifferentRequest:
        answer(errorResponse(
            {ErrorKind::Conflict,
                "this Idempotency-Key was used with a different request; use a new key for a new request"},
            RunState::NotRun));
        return;
    case ClaimDecision::StoreDown:
        context_.metrics.refusedNotRun.fetch_add(1);
        answer(errorResponse(
            {ErrorKind::StoreUnavailable,
                "the store that keeps idempotency keys can't be asked now; repeat with the same key later"},
            RunState::NotRun, 2));
        return;
    }
}

void PlainExchange::queue()
{
    std::shared_ptr<PlainExchange> self = shared_from_this();
    QueueEntryId queueEntry = context_.scheduler.submit(
        {query_, policy_.team, policy_.weight, policy_.maxConcurrent, deadline_},
        [self](Placement placement) { self->onPlaced(std::move(placement)); },
        [self](const Error& error) { self->finishWithError(error); });
    if (cancellation_.trackQueueEntry(std::move(queueEntry)))
        endAfterDisconnect();
}

bool PlainExchange::holdsClaim() const { return claim_ && claim_->decision() == ClaimDecision::Proceed; }

void PlainExchange::endAfterDisconnect()
{
    context_.metrics.callerDisconnects.fetch_add(1);
    LogEvent("request.caller_gone", Severity::Info)
        .with("request", requestId_)
        .with("attempts", attemptCount_);
    RunState run = tracker_.state();
    settleThenAnswer(settleClaim(run),
        errorResponse({ErrorKind::OutcomeUnknown, "the caller closed its connection"}, run));
}

void PlainExchange::onPlaced(Placement placement)
{
    placement_ = std::move(placement);
    if (!policy_.isKeyValid()) {
        finishWithError({ErrorKind::Unauthorized,
            "the key was withdrawn while the request waited; ask your operators for a new one"});
        return;
    }
    if (cancellation_.isCancelled()) {
        endAfterDisconnect();
        return;
    }
    ++attemptCount_;
    bool mayHaveRun = tracker_.state() != RunState::NotRun;
    checkInvariant(policy_.route.isIdempotent || !mayHaveRun, "plain.never_sent_twice");
    std::shared_ptr<PlainExchange> self = shared_from_this();
    auto startCall = [&] {
        return context_.upstream.start(makeCall(), [self](const HttpCallResult& result) {
            self->cancellation_.finishCall();
            self->onAttemptDone(result);
        });
    };
    if (holdsClaim())
        startCall();
    else
        cancellation_.startTrackedCall(startCall);
}

HttpCall PlainExchange::makeCall() const
{
    std::string target = percentEncode(request_.path) + (request_.query.empty() ? "" : "?" + request_.query);
    HttpCallBuilder builder(
        request_.method, "http://" + placement_.endpoint()->rule().address.text() + target);
    for (std::string_view name : forwardedHeaders) {
        std::string_view value = request_.headers.get(name);
        if (!value.empty())
            builder.header(std::string(name), std::string(value));
    }
    builder.header("X-Attempt-Id", requestId_);
    if (!policy_.team.empty())
        builder.header("X-Team", policy_.team);
    // At least 100 ms, also after the deadline: a timeout of zero would mean no limit.
    Millis remaining
        = std::max(Millis(100), std::chrono::duration_cast<Millis>(deadline_ - context_.clock.now()));
    return builder.body(request_.body)
        .connectTimeout(std::min(remaining, Millis(1000)))
        .totalTimeout(remaining)
        .freshConnection(!policy_.route.isIdempotent)
        .build();
}

void PlainExchange::onAttemptDone(const HttpCallResult& result)
{
    const EndpointPointer& endpoint = placement_.endpoint();
    std::string_view echoed = result.headers.get("X-Attempt-Id");
    bool isMismatched = result.end == CallEnd::Complete && !echoed.empty() && echoed != requestId_;
    HttpCallResult effectiveResult = result;
    if (isMismatched) {
        context_.metrics.mismatchedAnswers.fetch_add(1);
        effectiveResult.end = CallEnd::Broken;
    }
    tracker_.onAttempt(effectiveResult, false);
    if (tracker_.state() == RunState::Ran) {
        endpoint->onAttemptSucceeded();
        finishWithResponse(effectiveResult);
        return;
    }
    if (effectiveResult.end == CallEnd::Cancelled && cancellation_.isCancelled()) {
        endAfterDisconnect();
        return;
    }
    endpoint->onAttemptFailed(context_.clock.now());
    LogEvent("attempt.failed", Severity::Warning)
        .with("request", requestId_)
        .with("endpoint", endpoint->name())
        .with("end", callEndNames.name(effectiveResult.end))
        .with("status", effectiveResult.status);
    query_.excluded.insert(endpoint->name());
    bool mayRetry = tracker_.state() == RunState::NotRun || policy_.route.isIdempotent;
    if (mayRetry && attemptCount_ < maxAttempts && context_.clock.now() < deadline_
        && context_.retries.tryTake()) {
        context_.metrics.retries.fetch_add(1);
        placement_.release();
        queue();
        return;
    }
    if (tracker_.state() == RunState::NotRun)
        finishWithError({ErrorKind::NoCapacity, "no endpoint took the request; try again later"});
    else
        finishWithError({ErrorKind::OutcomeUnknown,
            "the endpoint gave no whole answer, so the request may have run; look into the service's own "
            "records before repeating it"});
}

void PlainExchange::finishWithResponse(const HttpCallResult& result)
{
    context_.metrics.completed.fetch_add(1);
    context_.usage.add(policy_.team, {1, 0, 0}, context_.clock.unixMillis());
    HttpResponse response;
    response.status = result.status;
    std::string contentType(result.headers.get("Content-Type"));
    if (!contentType.empty())
        response.headers.add("Content-Type", contentType);
    response.body = result.body;
    StoreOps ops;
    if (claim_)
        ops = claim_->record({result.status, contentType, result.body});
    settleThenAnswer(std::move(ops), std::move(response));
}

void PlainExchange::finishWithError(const Error& error)
{
    RunState run = tracker_.state();
    (run == RunState::NotRun ? context_.metrics.refusedNotRun : context_.metrics.outcomeUnknown).fetch_add(1);
    settleThenAnswer(settleClaim(run), errorResponse(error, run, run == RunState::NotRun ? 1 : 0));
}

StoreOps PlainExchange::settleClaim(RunState run)
{
    if (!holdsClaim())
        return {};
    return run == RunState::NotRun ? claim_->abandon() : claim_->recordUnknown();
}

void PlainExchange::settleThenAnswer(StoreOps ops, HttpResponse response)
{
    placement_.release();
    if (ops.empty()) {
        answer(std::move(response));
        return;
    }
    finalResponse_ = std::move(response);
    executeClaimOps(std::move(ops));
}

void PlainExchange::answer(HttpResponse response)
{
    context_.metrics.active.fetch_sub(1);
    placement_.release();
    responder_->send(std::move(response));
}

} // namespace ragwortwinch
