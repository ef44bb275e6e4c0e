#include "ragwortwinch/dispatch/chat_exchange.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/dispatch/error_response.h"
#include "ragwortwinch/routing/prefix_index.h"

#include <algorithm>
#include <fmt/format.h>

namespace ragwortwinch {

namespace {

// 4 is the estimated number of bytes per token, as in ChatRequest::promptTokens.
constexpr std::size_t prefixBlockBytes = static_cast<std::size_t>(prefixBlockTokens) * 4;
constexpr std::size_t maxPrefixBlocks = 256;
// How much of an endpoint's error response is kept; a client error is passed on to the caller.
constexpr std::size_t maxErrorTextBytes = 4096;
constexpr int statusOk = 200;
// How long a broken stream may be queued for capacity on another engine.
constexpr Millis resumeQueueTimeout{10000};

} // namespace

ChatExchange::ChatExchange(const DispatchContext& context, RequestPolicy policy, ChatRequest request,
    std::shared_ptr<HttpResponder> responder)
    : context_(context)
    , policy_(std::move(policy))
    , request_(std::move(request))
    , responder_(std::move(responder))
    , completionId_("chatcmpl-" + context.ids.next())
    , deadline_(context.clock.now() + policy_.route.deadline)
    , promptTokens_(request_.promptTokens())
    , cancellation_(context.scheduler)
{
    query_.service = request_.model;
    query_.promptTokens = promptTokens_;
    query_.outputTokens = request_.maxTokens;
    query_.prefixes = hashPrefixes(request_.prompt, prefixBlockBytes, maxPrefixBlocks);
}

void ChatExchange::start()
{
    context_.metrics.requests.fetch_add(1);
    context_.metrics.active.fetch_add(1);
    context_.retries.onFirstTry();
    std::weak_ptr<ChatExchange> weak = weak_from_this();
    responder_->onClosed([weak] {
        std::shared_ptr<ChatExchange> self = weak.lock();
        if (self && self->cancellation_.cancel())
            self->endAfterDisconnect();
    });
    responder_->onWritten([weak] {
        std::shared_ptr<ChatExchange> self = weak.lock();
        if (!self || !self->isPaused_.load() || self->responder_->unsentBytes() > resumeBelowUnsentBytes)
            return;
        self->isPaused_.store(false);
        self->cancellation_.resumeCall();
    });
    queue(deadline_);
}

void ChatExchange::queue(Instant deadline)
{
    std::shared_ptr<ChatExchange> self = shared_from_this();
    QueueEntryId queueEntry = context_.scheduler.submit(
        {query_, policy_.team, policy_.weight, policy_.maxConcurrent, deadline},
        [self](Placement placement) { self->onPlaced(std::move(placement)); },
        [self](const Error& error) { self->finishWithError(error); });
    if (cancellation_.trackQueueEntry(std::move(queueEntry)))
        endAfterDisconnect();
}

void ChatExchange::endAfterDisconnect()
{
    context_.metrics.callerDisconnects.fetch_add(1);
    LogEvent("request.caller_gone", Severity::Info)
        .with("request", completionId_)
        .with("attempts", attemptCount_)
        .with("offset", answer_.nextOffset());
    end();
}

void ChatExchange::onPlaced(Placement placement)
{
    placement_ = std::move(placement);
    // Revoking a key stops queued requests, but doesn't interrupt a stream that has begun.
    if (!answer_.hasOutput() && !policy_.isKeyValid()) {
        finishWithError({ErrorKind::Unauthorized,
            "the key was withdrawn while the request waited; ask your operators for a new one"});
        return;
    }
    if (cancellation_.isCancelled()) {
        endAfterDisconnect();
        return;
    }
    beginAttempt();
}

void ChatExchange::beginAttempt()
{
    ++attemptCount_;
    attempt_ = {};
    attempt_.id = context_.ids.next();
    std::shared_ptr<ChatExchange> self = shared_from_this();
    cancellation_.startTrackedCall([&] {
        return context_.upstream.start(makeCall(), [self](const HttpCallResult& result) {
            self->cancellation_.finishCall();
            self->onAttemptDone(result);
        });
    });
}

HttpCall ChatExchange::makeCall()
{
    std::shared_ptr<ChatExchange> self = shared_from_this();
    // At least 200 ms, also after the deadline: a timeout of zero would mean no limit.
    Millis remaining
        = std::max(Millis(200), std::chrono::duration_cast<Millis>(deadline_ - context_.clock.now()));
    const SocketAddress& address = placement_.endpoint()->rule().address;
    // Copies none of the caller's headers, so no API key reaches an engine.
    return HttpCallBuilder("POST", "http://" + address.text() + "/v1/chat/completions")
        .header("Content-Type", "application/json")
        .header("X-Attempt-Id", attempt_.id)
        .body(upstreamBody())
        .connectTimeout(Millis(1000))
        // Before any output, half of the remaining time is left for another attempt.
        .firstByteTimeout(answer_.hasOutput() ? policy_.limits.streamIdleBound * 2 : remaining / 2)
        .idleTimeout(policy_.limits.streamIdleBound)
        .onHeaders([self](int status, const HttpHeaders& headers) { self->onHeaders(status, headers); })
        .onData([self](std::string_view bytes) { return self->onData(bytes); })
        .build();
}

std::string ChatExchange::upstreamBody() const
{
    Json body = request_.body;
    body["stream"] = true;
    body["max_tokens"] = request_.maxTokens;
    body["request_id"] = completionId_;
    if (answer_.hasOutput())
        body["continue_from"] = {{"offset", answer_.nextOffset()}, {"text", answer_.text()}};
    return body.dump();
}

void ChatExchange::onHeaders(int status, const HttpHeaders& headers)
{
    attempt_.status = status;
    attempt_.hasMatchingId = headers.get("X-Attempt-Id") == attempt_.id;
    if (status == statusOk && !attempt_.hasMatchingId)
        context_.metrics.mismatchedAnswers.fetch_add(1);
    std::int64_t prompt = std::strtoll(std::string(headers.get("X-Prompt-Tokens")).c_str(), nullptr, 10);
    if (prompt > 0 && !answer_.hasOutput())
        promptTokens_ = prompt;
}

bool ChatExchange::pauseIfBacklogged()
{
    if (!hasBegunStream_ || responder_->unsentBytes() <= pauseAboveUnsentBytes)
        return false;
    isPaused_.store(true);
    // If the buffer has drained in the meantime, no further write would resume the call.
    if (responder_->unsentBytes() > resumeBelowUnsentBytes)
        return true;
    isPaused_.store(false);
    return false;
}

StreamFlow ChatExchange::onData(std::string_view bytes)
{
    if (cancellation_.isCancelled())
        return StreamFlow::Cancel;
    if (attempt_.status != statusOk) {
        attempt_.errorText.append(
            bytes.substr(0, maxErrorTextBytes - std::min(maxErrorTextBytes, attempt_.errorText.size())));
        return StreamFlow::Continue;
    }
    if (!attempt_.hasMatchingId)
        return StreamFlow::Cancel;
    if (pauseIfBacklogged())
        return StreamFlow::Pause;
    attempt_.reader.append(bytes);
    return processEvents();
}

StreamFlow ChatExchange::processEvents()
{
    std::string output;
    StreamFlow flow = attempt_.reader.isEventTooLong() ? StreamFlow::Cancel : StreamFlow::Continue;
    while (flow == StreamFlow::Continue && !answer_.isFinished()) {
        std::optional<StreamEvent> event = attempt_.reader.next();
        if (!event)
            break;
        switch (answer_.take(*event)) {
        case EventDecision::Forward:
            output += "data: ";
            output += event->data;
            output += "\n\n";
            break;
        case EventDecision::Duplicate:
            break;
        case EventDecision::Finished:
            output += "data: [DONE]\n\n";
            break;
        case EventDecision::Gap:
            flow = StreamFlow::Cancel;
            break;
        }
    }
    forward(std::move(output));
    return flow;
}

void ChatExchange::forward(std::string output)
{
    if (!request_.wantsStream || output.empty())
        return;
    if (!hasBegunStream_) {
        hasBegunStream_ = true;
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("Cache-Control", "no-cache");
        headers.add("X-Request-Id", completionId_);
        responder_->beginStream(statusOk, std::move(headers));
    }
    responder_->writeStream(std::move(output));
}

void ChatExchange::onAttemptDone(const HttpCallResult& result)
{
    const EndpointPointer& endpoint = placement_.endpoint();
    tracker_.onAttempt(result, answer_.hasOutput());
    if (answer_.isFinished()) {
        endpoint->onAttemptSucceeded();
        finishCompleted();
        return;
    }
    if (cancellation_.isCancelled()) {
        endAfterDisconnect();
        return;
    }
    bool isClientError = result.end == CallEnd::Complete && result.status >= 400 && result.status < 500;
    if (isClientError && !answer_.hasOutput()) {
        responder_->send(jsonResponse(result.status, attempt_.errorText));
        end();
        return;
    }
    LogEvent("attempt.failed", Severity::Warning)
        .with("request", completionId_)
        .with("endpoint", endpoint->name())
        .with("end", callEndNames.name(result.end))
        .with("status", result.status)
        .with("offset", answer_.nextOffset());
    endpoint->onAttemptFailed(context_.clock.now());
    query_.excluded.insert(endpoint->name());
    if (retryIfAllowed())
        return;
    bool hasNotRun = tracker_.state() == RunState::NotRun;
    finishWithError({hasNotRun ? ErrorKind::NoCapacity : ErrorKind::EndpointFailed,
        hasNotRun ? "no endpoint took the request; try again later"
                  : "the endpoints failed before the answer was whole; ask again"});
}

bool ChatExchange::retryIfAllowed()
{
    Instant now = context_.clock.now();
    bool isPastDeadline = !answer_.hasOutput() && now >= deadline_;
    if (attemptCount_ >= maxAttempts || isPastDeadline || !context_.retries.tryTake())
        return false;
    (answer_.hasOutput() ? context_.metrics.resumes : context_.metrics.retries).fetch_add(1);
    placement_.release();
    query_.outputTokens = std::max<std::int64_t>(1, request_.maxTokens - answer_.nextOffset());
    queue(answer_.hasOutput() ? now + resumeQueueTimeout : deadline_);
    return true;
}

std::string ChatExchange::completeAnswer() const
{
    std::string reason = answer_.finishReason();
    Json answer;
    answer["id"] = completionId_;
    answer["object"] = "chat.completion";
    answer["created"] = context_.clock.unixMillis() / 1000;
    answer["model"] = request_.model;
    answer["choices"] = {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", answer_.text()}}},
        {"finish_reason", reason.empty() ? "stop" : reason}}};
    answer["usage"] = {{"prompt_tokens", promptTokens_}, {"completion_tokens", answer_.nextOffset()},
        {"total_tokens", promptTokens_ + answer_.nextOffset()}};
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void ChatExchange::finishCompleted()
{
    checkInvariant(answer_.isFinished(), "chat.whole_answer_has_its_marker");
    context_.metrics.completed.fetch_add(1);
    if (request_.wantsStream)
        responder_->endStream();
    else
        responder_->send(jsonResponse(statusOk, completeAnswer()));
    end();
}

void ChatExchange::finishWithError(const Error& error)
{
    RunState run = tracker_.state();
    if (run == RunState::NotRun)
        context_.metrics.refusedNotRun.fetch_add(1);
    else if (run == RunState::OutcomeUnknown)
        context_.metrics.outcomeUnknown.fetch_add(1);
    else
        context_.metrics.truncated.fetch_add(1);
    if (hasBegunStream_) {
        // The missing terminal marker shows the caller's library that the answer is incomplete.
        responder_->writeStream("data: " + errorBody(error, run) + "\n\n");
        responder_->endStream();
    } else
        responder_->send(errorResponse(error, run, run == RunState::NotRun ? 1 : 0));
    end();
}

void ChatExchange::end()
{
    if (answer_.hasOutput()) {
        context_.metrics.tokens.fetch_add(static_cast<std::uint64_t>(answer_.nextOffset()));
        context_.usage.add(
            policy_.team, {1, promptTokens_, answer_.nextOffset()}, context_.clock.unixMillis());
    }
    context_.metrics.active.fetch_sub(1);
    placement_.release();
}

} // namespace ragwortwinch
