#include "ragwortwinch/forward/prefill_step.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/http_status.h"

namespace ragwortwinch {

namespace {

// Limit on the body of a prefill reply, which has only a few fields.
constexpr std::size_t maxReplyBytes = 64 * 1024;

// Sends the request that frees a handle. Owns itself until that request ends.
class HandleRelease final : private AttemptListener, public std::enable_shared_from_this<HandleRelease> {
public:
    void start(ForwardContext& context, const UpstreamPointer& endpoint, const std::string& handle)
    {
        ForwardedFields forwarded;
        forwarded.endpointId = endpoint->record.id;
        std::string head
            = "DELETE " + context.codec.freeHandleTarget(handle) + " HTTP/1.1\r\nHost: endpoint\r\n";
        context.codec.appendForwarded(head, HttpFields(), forwarded);
        head += "Content-Length: 0\r\n\r\n";
        AttemptOptions options;
        options.connectTimeout = context.options.connectTimeout;
        options.firstByteTimeout = callTimeout;
        options.gapTimeout = callTimeout;
        options.maxIdleFraction = ChannelPool::usableIdleFraction;
        attempt_ = std::make_shared<Attempt>(context.io, context.pool, context.codec, context.clock, endpoint,
            options, static_cast<AttemptListener&>(*this));
        self_ = shared_from_this();
        attempt_->start(std::move(head), std::make_shared<const std::string>());
    }

private:
    static constexpr Millis callTimeout{1000};

    void onReplyHead(int, std::string_view, const HttpFields&) override { }
    void onReplyBody(std::string chunk) override
    {
        bytes_ += chunk.size();
        if (bytes_ <= maxReplyBytes)
            attempt_->resume();
        else
            attempt_->endInvalid("the reply to the release of a handle is too long");
    }
    void onAttemptEnd(AttemptEnd) override
    {
        std::shared_ptr<HandleRelease> self = std::move(self_);
        attempt_.reset();
    }

    std::shared_ptr<Attempt> attempt_;
    std::size_t bytes_ = 0;
    std::shared_ptr<HandleRelease> self_;
};

} // namespace

PrefillStep::PrefillStep(ForwardContext& context, UpstreamPointer endpoint,
    std::function<bool()> cancelIfUnwanted, std::function<bool()> mayEndSilent,
    std::function<void(const PrefillResult&)> onDone)
    : context_(context)
    , endpoint_(std::move(endpoint))
    , cancelIfUnwanted_(std::move(cancelIfUnwanted))
    , mayEndSilent_(std::move(mayEndSilent))
    , onDone_(std::move(onDone))
{
}

PrefillStep::~PrefillStep() { cancel(); }

void PrefillStep::start(std::string head, std::shared_ptr<const std::string> body, AttemptOptions options)
{
    attempt_ = std::make_shared<Attempt>(context_.io, context_.pool, context_.codec, context_.clock,
        endpoint_, std::move(options), static_cast<AttemptListener&>(*this));
    attempt_->start(std::move(head), std::move(body));
}

void PrefillStep::cancel()
{
    if (attempt_)
        attempt_->cancel();
    attempt_.reset();
}

void PrefillStep::onReplyHead(int status, std::string_view, const HttpFields&) { status_ = status; }

void PrefillStep::onReplyBody(std::string chunk)
{
    body_ += chunk;
    if (body_.size() <= maxReplyBytes)
        attempt_->resume();
    else
        attempt_->endInvalid("the reply to a prefill is too long");
}

void PrefillStep::onAttemptEnd(AttemptEnd end)
{
    PrefillResult result;
    result.end = end;
    result.endpoint = endpoint_;
    if (end == AttemptEnd::Complete && status_ == statusOk)
        result.handle = context_.codec.decodePrefillHandle(body_);
    attempt_.reset();
    onDone_(result);
}

void freeHandle(ForwardContext& context, const UpstreamPointer& endpoint, const std::string& handle)
{
    std::make_shared<HandleRelease>()->start(context, endpoint, handle);
}

} // namespace ragwortwinch
