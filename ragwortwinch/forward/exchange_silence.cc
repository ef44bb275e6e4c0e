// Replaces an attempt whose endpoint is silent by one at another endpoint.
//
// An endpoint may pause and still be sound, so its silence alone never ends a request: its attempt is kept
// until the replacement is accepted, for `ForwardOptions::maxOverlap` at most, and goes on if the replacement
// is refused. A stream that has begun is not replaced before `ForwardOptions::maxSoundPause` while its
// endpoint accepts connections: the replacement may pause as well, and the caller waits for the sum of both.
#include "ragwortwinch/forward/exchange.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/http_status.h"

namespace ragwortwinch {

namespace {

// With `ForwardOptions::maxOverlap` and the way to the endpoint, less than the 400 ms after which two runs of
// a resumed stream count as such.
constexpr Millis maxLagForOverlap{200};

} // namespace

// Receives what becomes of the silent attempt while its replacement runs.
class Exchange::SilentListener final : public AttemptListener {
public:
    explicit SilentListener(Exchange& exchange)
        : exchange_(exchange)
    {
    }

    void onReplyHead(int status, std::string_view reason, const HttpFields& fields) override
    {
        // `returnToSilent` deletes this object.
        Exchange& exchange = exchange_;
        exchange.returnToSilent();
        exchange.onReplyHead(status, reason, fields);
    }
    void onReplyBody(std::string chunk) override
    {
        Exchange& exchange = exchange_;
        exchange.returnToSilent();
        exchange.onReplyBody(std::move(chunk));
    }
    void onAttemptEnd(AttemptEnd end) override { exchange_.dropSilent(end); }
    SilenceDecision onSilence(Millis) override { return {.mayEnd = false}; }

private:
    Exchange& exchange_;
};

struct Exchange::SilentAttempt {
    explicit SilentAttempt(Exchange& exchange)
        : listener(exchange)
        , replyBody(exchange.context_.replyMemory)
    {
    }

    SilentListener listener;
    std::shared_ptr<Attempt> attempt;
    Instant sentAt;
    // The state of the exchange that belongs to the attempt.
    std::string endpointId;
    int replyStatus = 0;
    std::string replyHead;
    ReplyBuffer replyBody;
    bool isEventReply = false;
    EventStream events;
};

SilenceDecision Exchange::onSilence(Millis silence)
{
    Instant now = context_.clock.now();
    if (silent_ || !mayReplaceSilent(retryState()) || context_.crashes.findQuarantined(traits_))
        return {.mayEnd = false};
    UpstreamPointer endpoint = chooseEndpoint();
    if (!endpoint || context_.retryBudgetOf(service_).available(now) <= 0)
        return {.mayEnd = false};
    Millis left = isStreamStarted_ ? silenceLeft(silence) : Millis(0);
    if (left.count() > 0)
        return {.mayEnd = false, .askAgainAfter = left};
    // A VM that is behind could stop the silent run too late for the overlap.
    if (context_.lag.recentLag(now) >= maxLagForOverlap)
        return {.mayEnd = true};
    if (takeRetry(now))
        replaceSilent(endpoint);
    // The attempt ends when its replacement is accepted.
    return {.mayEnd = false};
}

Millis Exchange::silenceLeft(Millis silence)
{
    Millis probeTime = context_.options.connectTimeout;
    if (silence >= context_.options.maxSoundPause)
        return Millis(0);
    if (!silenceProbe_) {
        silenceProbe_ = ConnectionProbe::start(context_.io, attempt_->endpoint(), probeTime,
            [self = shared_from_this()](ProbeResult result) { self->silenceProbeResult_ = result; });
        return probeTime;
    }
    // The probe's timer may expire just after the one that asks here.
    if (!silenceProbeResult_)
        return Millis(1);
    return *silenceProbeResult_ == ProbeResult::Connected ? context_.options.maxSoundPause - silence
                                                          : Millis(0);
}

void Exchange::endSilenceProbe()
{
    if (silenceProbe_)
        silenceProbe_->cancel();
    silenceProbe_.reset();
    silenceProbeResult_.reset();
}

bool Exchange::mayEndSilentPrefill()
{
    Instant now = context_.clock.now();
    return !context_.crashes.findQuarantined(traits_) && context_.retryBudgetOf(service_).available(now) > 0
        && chooseEndpoint();
}

void Exchange::replaceSilent(const UpstreamPointer& endpoint)
{
    silent_ = std::make_shared<SilentAttempt>(*this);
    silent_->attempt = std::move(attempt_);
    silent_->attempt->setListener(silent_->listener);
    silent_->sentAt = sentAt_;
    silent_->endpointId = lastEndpoint_;
    silent_->replyStatus = replyStatus_;
    silent_->replyHead = replyHead_;
    silent_->replyBody.swap(replyBody_);
    silent_->isEventReply = isEventReply_;
    silent_->events = events_;
    send(endpoint);
}

void Exchange::armOverlapTimer()
{
    overlapTimer_.expires_after(context_.options.maxOverlap);
    overlapTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->silent_)
            self->dropSilent(AttemptEnd::Silent);
    });
}

void Exchange::returnToSilent()
{
    overlapTimer_.cancel();
    if (attempt_)
        attempt_->cancel();
    std::shared_ptr<SilentAttempt> silent = std::move(silent_);
    attempt_ = std::move(silent->attempt);
    attempt_->setListener(static_cast<AttemptListener&>(*this));
    sentAt_ = silent->sentAt;
    lastEndpoint_ = std::move(silent->endpointId);
    replyStatus_ = silent->replyStatus;
    replyHead_ = std::move(silent->replyHead);
    replyBody_.swap(silent->replyBody);
    isEventReply_ = silent->isEventReply;
    events_ = std::move(silent->events);
}

void Exchange::endSilent()
{
    overlapTimer_.cancel();
    if (silent_)
        silent_->attempt->cancel();
    silent_.reset();
}

void Exchange::dropSilent(AttemptEnd end)
{
    overlapTimer_.cancel();
    std::shared_ptr<SilentAttempt> silent = std::move(silent_);
    silent->attempt->cancel();
    settlePendingPrompt(false);
    recordAttemptEnd(*silent->attempt, end, silent->sentAt);
    if (mayHaveRun(end))
        ++possibleRuns_;
}

} // namespace ragwortwinch
