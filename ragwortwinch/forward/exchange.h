// Handles one request from admission to its reply: finds its route and team, chooses an endpoint, sends the
// request, retries it where allowed, and relays the reply.
//
//     std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(context, request, sink, onDone);
//     exchange->start();
//     exchange->cancel();       // the caller has disconnected
//
// A local 503 reply ("not run") is sent only when no endpoint can have run the request. Confined to the
// forwarding thread.
#pragma once

#include "ragwortwinch/base/error.h"
#include "ragwortwinch/forward/attempt.h"
#include "ragwortwinch/forward/connection_probe.h"
#include "ragwortwinch/forward/event_stream.h"
#include "ragwortwinch/forward/forward_context.h"
#include "ragwortwinch/forward/forward_request.h"
#include "ragwortwinch/forward/prefill_step.h"
#include "ragwortwinch/forward/reply_sink.h"
#include "ragwortwinch/forward/request_outcome.h"
#include "ragwortwinch/forward/request_traits.h"
#include "ragwortwinch/placement/engine_chooser.h"
#include "ragwortwinch/placement/retry_decision.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

class Exchange final : public std::enable_shared_from_this<Exchange>, private AttemptListener {
public:
    // `sink` must stay valid until `onDone` runs or `cancel` returns.
    Exchange(ForwardContext& context, std::shared_ptr<ForwardRequest> request, ReplySink& sink,
        std::function<void()> onDone);
    ~Exchange() override;

    void start();
    // Ends the exchange without a reply and aborts its attempts, so that endpoints stop the work.
    void cancel();
    // Ends the exchange with what can be told now, since the process is about to end.
    void endAtStop();

private:
    // An error reply of an endpoint that is delivered if no retry succeeds.
    struct FallbackReply {
        int status = 0;
        std::string head;
        std::string body;
    };

    // The attempt whose endpoint is silent while another endpoint may replace it.
    struct SilentAttempt;
    class SilentListener;

    bool cancelIfUnwanted() override;
    // Tries to replace the silent attempt; see exchange_silence.cc.
    SilenceDecision onSilence(Millis silence) override;
    void onReplyHead(int status, std::string_view reason, const HttpFields& fields) override;
    void onReplyBody(std::string chunk) override;
    void onAttemptEnd(AttemptEnd end) override;

    bool admit();
    void armDeadline();
    void onDeadline();
    // Ends a request that has a part of its reply, or an endpoint's error; returns whether it has.
    bool endPartialReply(RequestOutcome outcome, int status);
    // Whether an endpoint may have run the request, or still run it.
    bool mayRunOrHaveRun() const;
    Millis timeLeft() const;
    // Charges the request to its team's limit, or ends the exchange if it doesn't fit.
    bool admitByLimit();
    void chooseService();
    // Ends the exchange if it or a part of its prompt is in quarantine; returns whether it did.
    bool endIfQuarantined();
    // Reports how the attempt ended to the detector of crashes.
    void reportToCrashDetector(const Attempt& attempt, AttemptEnd end, Instant sentAt);
    // Whether the stream was cut off although its last reply ended as its framing says.
    bool isStreamCut(const Attempt& attempt) const;
    bool wantsPrefill() const;
    std::uint64_t affinityKey() const;
    PlacementQuery makeQuery() const;
    // Whether the service of the request is run by engines.
    bool isForEngines() const;
    // The priority of the team or the route; 0 is the most urgent.
    int priority() const;
    // Adds what the request leaves to others: reserved slots, and engines with long prompts to less urgent
    // ones.
    void addReserve(PlacementQuery& query);
    // Counts a request that is sent while slots are reserved, and one that takes a reserved slot since no
    // other engine has room.
    void countReservedSlot(const UpstreamPointer& endpoint);
    // Chooses the engine for a long prompt, or refuses the request if none can answer in time.
    void placePrompt();
    void startPrefill(const EngineChoice& choice);
    // Adds the prompt to the engine's estimated prefill queue.
    void addPendingPrompt(const EngineChoice& choice);
    // Sends the whole request to the engine, which also prefills the prompt.
    void sendPrompt(const EngineChoice& choice);
    void onPrefillDone(const PrefillResult& result);
    // Chooses an endpoint for the whole request and sends it, or ends the exchange if there is none.
    void place();
    // Returns nullptr if there is none.
    UpstreamPointer chooseEndpoint();
    // Returns how long a stream's silent endpoint may go on before it is replaced: zero if it must be
    // replaced now.
    Millis silenceLeft(Millis silence);
    // Whether a prefill whose engine is silent is given up.
    bool mayEndSilentPrefill();
    // Sends the request to `endpoint` and keeps the current attempt until that one is accepted.
    void replaceSilent(const UpstreamPointer& endpoint);
    void armOverlapTimer();
    // Gives up the replacement and goes on with the silent attempt.
    void returnToSilent();
    // Goes on with the replacement alone. `end` is how the silent attempt ended.
    void dropSilent(AttemptEnd end);
    // Ends the silent attempt with the exchange.
    void endSilent();
    void endSilenceProbe();
    void send(const UpstreamPointer& endpoint);
    AttemptOptions attemptOptions();
    // First-byte timeout after which the request is sent to another endpoint; zero for none.
    Millis failoverTimeout();
    std::string makeHead(const ForwardedFields& forwarded) const;
    ForwardedFields forwardedFields(const UpstreamPointer& endpoint) const;
    // Keeps a KV cache whose fetch was refused, for the next decode engine or a prefill that replaces it.
    void takeBackCache(const Attempt& attempt, AttemptEnd end);
    void releaseCache();
    // Whether decode engines that had room have refused to fetch the KV cache, so that the prompt is
    // prefilled again. This is done at most once, since engines may be full without this VM's knowledge.
    bool mustPrefillAgain() const;
    // Retries if the route, the retry budget and the deadline allow it. Returns false if they don't;
    // otherwise calls `place` or `placePrompt`, which may end the exchange. `attemptMayHaveRun` refers to the
    // last attempt, `mayHaveRun_` to all.
    bool tryRetry(bool attemptMayHaveRun);
    RetryState retryState() const;
    // Takes one retry from the budget of the service; returns false if it is empty.
    bool takeRetry(Instant now);
    void processAttemptEnd(AttemptEnd end);
    // Tells the endpoint's statistics, the crash detector, metrics and the log how an attempt ended.
    void recordAttemptEnd(const Attempt& attempt, AttemptEnd end, Instant sentAt);
    void handleFailure(AttemptEnd end);
    void onStreamEnd(AttemptEnd end);
    void onReplyComplete();
    void relayEvents(std::string events);
    // Takes the time since the last events as the engine's time for their tokens.
    void learnTokenTime();
    void continueStream();
    void finishWhole(int status, std::string head, std::string body);
    // `retryAfter` defaults to `ForwardOptions::retryAfter`.
    void refuse(ErrorKind kind, const std::string& message, std::optional<Millis> retryAfter = {});
    // When a request that no endpoint can take now may come again.
    Millis capacityRetryAfter() const;
    void reject(int status, ErrorKind kind, const std::string& message);
    void fail(int status, RequestOutcome outcome, ErrorKind kind, const std::string& message);
    void sendLocalReply(int status, ErrorKind kind, const std::string& message, Millis retryAfter);
    void finish(RequestOutcome outcome, int status);
    // Gives back the cost of a request that has certainly not run.
    void refundIfNotRun(RequestOutcome outcome);
    // Removes the prompt from the engine's estimated prefill queue.
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
    // What the request was charged to its team's limit.
    std::optional<double> charged_;
    std::string service_;
    std::shared_ptr<const std::string> body_;
    RequestTraits traits_;
    Instant startedAt_;
    Instant deadline_;
    boost::asio::steady_timer deadlineTimer_;

    std::shared_ptr<Attempt> attempt_;
    // Set while `attempt_` is the replacement of a silent attempt and not accepted yet.
    std::shared_ptr<SilentAttempt> silent_;
    boost::asio::steady_timer overlapTimer_;
    // Tests the endpoint of a silent stream; null while events arrive.
    std::shared_ptr<ConnectionProbe> silenceProbe_;
    std::optional<ProbeResult> silenceProbeResult_;
    std::shared_ptr<PrefillStep> prefill_;
    // The prompt's KV cache ("address/handle") and its engine, until a decode engine is told to fetch it.
    std::string cacheSource_;
    UpstreamPointer cacheHolder_;
    // The cache that the endpoint of the last attempt was told to fetch, and how many have refused to.
    std::string sentCacheSource_;
    UpstreamPointer sentCacheHolder_;
    int refusedFetches_ = 0;
    std::vector<const UpstreamEndpoint*> tried_;
    int attempts_ = 0;
    // Of these, the ones that have certainly not run the request.
    int attemptsNotRun_ = 0;
    // Whether the prompt was prefilled again since its KV cache could not be fetched.
    bool hasPrefilledAgain_ = false;
    // When the last attempt was sent.
    Instant sentAt_;
    // Failed attempts that may have run the request.
    int possibleRuns_ = 0;
    // Of these, the ones that lost the connection.
    int lostConnections_ = 0;
    bool mayHaveRun_ = false;
    bool isUsageCounted_ = false;
    bool hasStartedPrefill_ = false;
    bool hasKvTransfer_ = false;
    int refusedPrefills_ = 0;
    PromptPriority promptPriority_ = PromptPriority::OnTime;
    // The estimate for the prompt, and the engine chosen by it.
    Millis estimatedTimeToFirstToken_{0};
    std::string promptEngine_;
    std::int64_t tokensToPrefill_ = 0;
    // The engine's queue when the prompt was sent, including the prompt, and the slowness used for the
    // estimate.
    std::int64_t queuedTokens_ = 0;
    double assumedSlowness_ = 0;
    // From the start of the request to the end of the prefill step, and to the first event.
    Millis prefillTime_{0};
    Millis firstEventTime_{0};
    // The prompt that an engine is prefilling, and the engine.
    std::optional<PendingPrompt> pendingPrompt_;
    UpstreamPointer pendingPromptEngine_;
    // Slots that were reserved for more urgent requests at the last choice of an endpoint.
    double reservedSlots_ = 0;
    bool hasTakenReservedSlot_ = false;
    // End and endpoint of the last attempt.
    AttemptEnd lastEnd_ = AttemptEnd::NotConnected;
    std::string lastEndpoint_;
    // Message of the local reply, if any, for the log.
    std::string localReplyMessage_;

    int replyStatus_ = 0;
    std::string replyHead_;
    ReplyBuffer replyBody_;
    bool isEventReply_ = false;
    std::optional<FallbackReply> fallbackReply_;
    EventStream events_;
    bool isStreamStarted_ = false;
    // When the last events of the current attempt came, and how many events the stream had then.
    std::optional<Instant> lastEventsAt_;
    std::uint64_t lastEventCount_ = 0;
    // The caller took longer for the last events than a connection that is not full.
    bool wasCallerSlow_ = false;
    // The engine's time per token when the request was sent to it; 0 if unknown.
    double expectedTokenMillis_ = 0;
    bool isWriting_ = false;
    // End of an attempt that ended while bytes were being written to the caller.
    std::optional<AttemptEnd> pendingEnd_;
    bool isDone_ = false;
};

} // namespace ragwortwinch
