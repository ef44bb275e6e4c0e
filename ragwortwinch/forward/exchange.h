// Carries one request from admission to its answer: finds route and team, places it, sends it, sends it once
// more where that is allowed, and relays the answer.
//
//     std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(context, request, sink, onDone);
//     exchange->start();
//     exchange->cancel();       // the caller has gone
//
// "Not run" (503) is said only when no endpoint can have run the request. Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/base/error.h"
#include "ragwortwinch/forward/attempt.h"
#include "ragwortwinch/forward/engine_chooser.h"
#include "ragwortwinch/forward/event_stream.h"
#include "ragwortwinch/forward/forward_context.h"
#include "ragwortwinch/forward/forward_request.h"
#include "ragwortwinch/forward/prefill_step.h"
#include "ragwortwinch/forward/reply_sink.h"
#include "ragwortwinch/forward/request_outcome.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

class Exchange final : public std::enable_shared_from_this<Exchange>, private AttemptListener {
public:
    // `sink` stays valid until `onDone` runs or `cancel` returns.
    Exchange(ForwardContext& context, std::shared_ptr<ForwardRequest> request, ReplySink& sink,
        std::function<void()> onDone);
    ~Exchange() override;

    void start();
    // Ends it without an answer; endpoints stop working for it.
    void cancel();

private:
    // An answer that is held back while a better one is tried for.
    struct FallbackReply {
        int status = 0;
        std::string head;
        std::string body;
    };

    void onReplyHead(int status, std::string_view reason, const HttpFields& fields) override;
    void onReplyBody(std::string piece) override;
    void onAttemptEnd(AttemptEnd end) override;

    bool admit();
    void armDeadline();
    void onDeadline();
    Millis timeLeft() const;
    void chooseService();
    bool wantsPrefill() const;
    std::uint64_t affinityKey() const;
    PlacementQuery makeQuery() const;
    // Chooses the engine for a long prompt; refuses what can't be answered in time.
    void placePrompt();
    void startPrefill(const EngineChoice& choice);
    // Counts the prompt among those that the engine has to read.
    void addPendingPrompt(const EngineChoice& choice);
    void sendPrompt(const EngineChoice& choice);
    void onPrefillDone(const PrefillResult& result);
    void place();
    void send(const UpstreamPointer& endpoint);
    AttemptOptions attemptOptions();
    // How long an endpoint may be silent before the request is sent elsewhere; zero means until its time
    // limit.
    Millis silenceTimeout();
    std::string makeHead(const ForwardedFields& forwarded) const;
    ForwardedFields forwardedFields(const UpstreamPointer& endpoint) const;
    // Sends once more if the route, the budget and the time allow it.
    bool tryRetry(bool mayHaveRun);
    void processAttemptEnd(AttemptEnd end);
    void handleFailure(AttemptEnd end);
    void onStreamEnd(AttemptEnd end);
    void onReplyComplete();
    void relayEvents(std::string events);
    void continueStream();
    void finishWhole(int status, std::string head, std::string body);
    void refuse(ErrorKind kind, const std::string& message);
    void reject(int status, ErrorKind kind, const std::string& message);
    void fail(int status, RequestOutcome outcome, ErrorKind kind, const std::string& message);
    void sendLocalReply(int status, ErrorKind kind, const std::string& message, Millis retryAfter);
    void finish(RequestOutcome outcome, int status);
    void settlePendingPrompt(bool wasPrefilled);
    void countUsage();
    void logEnd(RequestOutcome outcome, int status);

    ForwardContext& context_;
    std::shared_ptr<ForwardRequest> request_;
    ReplySink* sink_;
    std::function<void()> onDone_;
    std::shared_ptr<const TrafficTable> traffic_;
    const TrafficRoute* route_ = nullptr;
    const TrafficTeam* team_ = nullptr;
    std::string service_;
    std::shared_ptr<const std::string> body_;
    Instant startedAt_;
    Instant deadline_;
    boost::asio::steady_timer deadlineTimer_;

    std::shared_ptr<Attempt> attempt_;
    std::shared_ptr<PrefillStep> prefill_;
    std::string cacheSource_;
    UpstreamPointer cacheHolder_;
    std::vector<const UpstreamEndpoint*> tried_;
    int attempts_ = 0;
    int possibleRuns_ = 0;
    bool mayHaveRun_ = false;
    bool isUsageCounted_ = false;
    bool hasPrefilled_ = false;
    bool hasKvTransfer_ = false;
    int refusedPrefills_ = 0;
    PromptPriority promptPriority_ = PromptPriority::OnTime;
    // Of the chosen engine, for the log.
    Millis estimatedTimeToFirstToken_{0};
    std::string promptEngine_;
    std::int64_t tokensToPrefill_ = 0;
    // Tokens to be read when it came, its own included, and the slowness that the estimate assumed.
    std::int64_t tokensAhead_ = 0;
    double assumedSlowness_ = 0;
    Millis prefillTime_{0};
    Millis firstEventTime_{0};
    // The prompt that an engine is reading, and the engine.
    std::optional<PendingPrompt> pendingPrompt_;
    UpstreamPointer pendingPromptEngine_;
    // Of the last attempt, for the log.
    AttemptEnd lastEnd_ = AttemptEnd::NotConnected;
    std::string lastEndpoint_;
    // Of an answer of our own.
    std::string localReplyMessage_;

    int replyStatus_ = 0;
    std::string replyHead_;
    std::string replyBody_;
    bool isEventReply_ = false;
    std::optional<FallbackReply> fallbackReply_;
    EventStream events_;
    bool isStreamStarted_ = false;
    bool isWriting_ = false;
    // The attempt ended while bytes were being written to the caller.
    std::optional<AttemptEnd> pendingEnd_;
    bool isDone_ = false;
};

} // namespace ragwortwinch
