#include "ragwortwinch/forward/attempt.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/http_status.h"
#include "ragwortwinch/net/reply_head.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

namespace ragwortwinch {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::uint32_t maxReplyHeaderBytes = 64 * 1024;
static_assert(maxReplyHeaderBytes < EndpointChannel::maxUnparsedBytes);
// A connection with more stale replies than this is closed.
constexpr int maxStaleReplies = 4;
// A reply with more interim replies (1xx) before it than this is invalid.
constexpr int maxInterimReplies = 16;
// Limit on what is read of the bodies of refusals and stale replies, which are dropped.
constexpr std::size_t maxDroppedBytes = 1024 * 1024;

std::string_view toView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Whether the reply has no transfer coding or a single one that the parser undoes. It takes others for a body
// that ends with the connection, or undoes the last one only.
bool isCodingReadable(const http::response_header<>& header)
{
    constexpr unsigned http10 = 10;
    auto [first, last] = header.equal_range(http::field::transfer_encoding);
    return first == last
        || (std::next(first) == last
            && isReadableTransferCoding(toView(first->value()), header.version() == http10));
}

// Returns why no endpoint in order sends this head as that of a final reply, or an empty string.
std::string headProblem(const http::response_header<>& header, const EndpointReply& reply)
{
    if (!isFinalStatus(static_cast<int>(header.result_int())))
        return fmt::format("the reply's status {:03} is none that a reply may have", header.result_int());
    if (!isCodingReadable(header))
        return "the reply's transfer coding is not chunked";
    return reply.isContradictory ? "the reply names two requests or has two signatures" : "";
}

} // namespace

Attempt::Attempt(boost::asio::io_context& context, ChannelPool& pool, const RequestCodec& codec,
    const Clock& clock, UpstreamPointer endpoint, AttemptOptions options, AttemptListener& listener)
    : context_(context)
    , pool_(pool)
    , codec_(codec)
    , clock_(clock)
    , endpoint_(std::move(endpoint))
    , options_(std::move(options))
    , listener_(&listener)
    , timer_(context)
{
}

void Attempt::start(std::string head, std::shared_ptr<const std::string> body)
{
    // The listener may drop its reference in `cancelIfUnwanted`.
    std::shared_ptr<Attempt> self = shared_from_this();
    head_ = std::move(head);
    body_ = std::move(body);
    ++endpoint_->running;
    if (options_.maxIdleFraction > 0)
        channel_ = pool_.acquire(endpoint_, clock_.now(), options_.maxIdleFraction);
    if (channel_) {
        hasReusedChannel_ = true;
        send();
    } else
        connect();
}

void Attempt::connect()
{
    channel_ = std::make_shared<EndpointChannel>(context_, endpoint_);
    armTimer(options_.connectTimeout, AttemptEnd::NotConnected);
    channel_->socket().async_connect(
        endpoint_->socketAddress, [self = shared_from_this()](const ErrorCode& error) {
            if (self->isEnded_)
                return;
            if (error) {
                self->end(AttemptEnd::NotConnected);
                return;
            }
            self->channel_->configure();
            self->send();
        });
}

void Attempt::armTimer(Millis timeout, AttemptEnd reason)
{
    silentSince_ = clock_.now();
    startTimer(timeout, reason);
}

void Attempt::startTimer(Millis timeout, AttemptEnd reason)
{
    std::uint64_t generation = ++timerGeneration_;
    if (timeout.count() <= 0) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(), generation, timeout, reason](const ErrorCode& error) {
        if (!error && !self->isEnded_ && generation == self->timerGeneration_)
            self->onTimeout(timeout, reason);
    });
}

void Attempt::onTimeout(Millis timeout, AttemptEnd reason)
{
    SilenceDecision decision;
    if (reason == AttemptEnd::Silent)
        decision = listener_->onSilence(clock_.now() - silentSince_);
    if (decision.mayEnd)
        end(reason);
    else
        startTimer(decision.askAgainAfter.count() > 0 ? decision.askAgainAfter : timeout, reason);
}

void Attempt::send()
{
    if (listener_->cancelIfUnwanted())
        return;
    mayHaveBeenSent_ = true;
    armTimer(options_.firstByteTimeout, AttemptEnd::Silent);
    std::array<boost::asio::const_buffer, 2> parts{boost::asio::buffer(head_), boost::asio::buffer(*body_)};
    boost::asio::async_write(channel_->socket(), parts,
        [self = shared_from_this(), channel = channel_](
            const ErrorCode& error, std::size_t bytes) { self->onWritten(error, bytes); });
    readHead();
}

void Attempt::onWritten(const ErrorCode& error, std::size_t bytes)
{
    if (isEnded_)
        return;
    // A write error doesn't end the attempt: an endpoint may reply and close before it has read the whole
    // request.
    write_ = error ? WriteState::Failed : WriteState::Complete;
    hasFailedToSend_ = error && bytes == 0;
    if (awaitsWrite_)
        finishCloseDelimited();
}

void Attempt::readHead()
{
    parser_.emplace();
    parser_->header_limit(maxReplyHeaderBytes);
    parser_->body_limit(boost::none);
    if (options_.isHeadRequest)
        parser_->skip(true);
    refusal_.reset();
    isStale_ = false;
    http::async_read_header(channel_->socket(), channel_->buffer(), *parser_,
        [self = shared_from_this(), channel = channel_](
            const ErrorCode& error, std::size_t) { self->onHead(error); });
}

bool Attempt::belongsToRequest(const EndpointReply& reply) const
{
    return reply.requestId == options_.requestId;
}

std::string Attempt::foreignReplyProblem(int status) const
{
    if (!options_.needsSignature || !isSuccess(status))
        return {};
    if (!reply_.isSigned)
        return "the success lacks the endpoint's signature";
    return reply_.isEncoded ? "the body is encoded, which was not asked for" : "";
}

void Attempt::onHead(const ErrorCode& error)
{
    if (isEnded_)
        return;
    if (error) {
        endBroken(error);
        return;
    }
    const http::response_header<>& header = parser_->get().base();
    int status = static_cast<int>(header.result_int());
    if (isInterimStatus(status)) {
        if (++interimReplies_ > maxInterimReplies)
            endInvalid("too many interim replies");
        else
            readHead();
        return;
    }
    reply_ = codec_.decodeReply(header);
    if (std::string problem = headProblem(header, reply_); !problem.empty()) {
        endInvalid(std::move(problem));
        return;
    }
    // An endpoint that can't parse the request refuses it without an id. On a new connection the refusal can
    // only belong to this request.
    bool isUnattributedRefusal = reply_.requestId.empty() && !hasReusedChannel_ && staleReplies_ == 0
        && (reply_.isNotExecuted || status == statusMisdirected);
    isStale_ = !belongsToRequest(reply_) && !isUnattributedRefusal;
    if (isStale_ && (reply_.requestId.empty() || ++staleReplies_ > maxStaleReplies)) {
        endInvalid("the reply has another request's id, or none");
        return;
    }
    if (status != statusMisdirected)
        takeNotices(status);
    if (!isStale_) {
        // Replies to calls other than requests, which have no id, need not name the limit.
        if (status != statusMisdirected && !options_.requestId.empty())
            endpoint_->limit.onReply(clock_.now(), reply_.requestLimit);
        if (status == statusMisdirected)
            refusal_ = AttemptEnd::Misdirected;
        else if (reply_.isNotExecuted)
            refusal_ = AttemptEnd::NotExecuted;
        else if (std::string problem = foreignReplyProblem(status); !problem.empty()) {
            endInvalid(std::move(problem));
            return;
        } else
            listener_->onReplyHead(status, toView(header.reason()), header);
        if (isEnded_)
            return;
    }
    // An eager parser would hold a complete event back until the next chunk begins.
    parser_->eager(false);
    armTimer(options_.gapTimeout, AttemptEnd::Silent);
    if (parser_->is_done())
        finishReply();
    else
        readBody();
}

void Attempt::takeNotices(int status)
{
    std::optional<Millis> pause = status == statusUnavailable ? reply_.retryAfter : std::nullopt;
    if (!endpoint_->notices.onReply(clock_.now(), reply_.isLeaving, pause))
        return;
    LogEvent(reply_.isLeaving ? "endpoint.says_leaving" : "endpoint.says_pause")
        .with("endpoint", endpoint_->record.id)
        .with("request", options_.requestId)
        .with("status", status)
        .with("pause_ms", pause.value_or(Millis(0)).count());
}

void Attempt::readBody()
{
    http::async_read_some(channel_->socket(), channel_->buffer(), *parser_,
        [self = shared_from_this(), channel = channel_](
            const ErrorCode& error, std::size_t) { self->onBody(error); });
}

void Attempt::onBody(const ErrorCode& error)
{
    if (isEnded_)
        return;
    if (error) {
        // Delivers what arrived before the failure.
        std::string chunk = std::move(parser_->get().body());
        if (!isStale_ && !refusal_ && !chunk.empty())
            listener_->onReplyBody(std::move(chunk));
        if (!isEnded_)
            endBroken(error);
        return;
    }
    deliver();
}

void Attempt::deliver()
{
    std::string chunk;
    chunk.swap(parser_->get().body());
    if (isStale_ || refusal_ || chunk.empty()) {
        droppedBytes_ += chunk.size();
        if (droppedBytes_ <= maxDroppedBytes)
            resume();
        else if (isStale_)
            endInvalid("a reply to an earlier request is too long");
        else
            end(*refusal_);
        return;
    }
    armTimer(Millis(0), AttemptEnd::Silent);
    listener_->onReplyBody(std::move(chunk));
}

void Attempt::resume()
{
    if (isEnded_)
        return;
    // The listener may drop its reference in `onAttemptEnd`.
    std::shared_ptr<Attempt> self = shared_from_this();
    if (parser_->is_done()) {
        finishReply();
        return;
    }
    armTimer(options_.gapTimeout, AttemptEnd::Silent);
    readBody();
}

void Attempt::finishReply()
{
    isDelimitedByClose_ = parser_->get().need_eof();
    bool isReusable = parser_->get().keep_alive() && !isDelimitedByClose_;
    if (isStale_) {
        if (!isReusable) {
            endInvalid("the reply belongs to an earlier request, and the connection ends with it");
            return;
        }
        armTimer(options_.firstByteTimeout, AttemptEnd::Silent);
        readHead();
        return;
    }
    if (isDelimitedByClose_ && !refusal_) {
        finishCloseDelimited();
        return;
    }
    if (isReusable && write_ == WriteState::Complete && channel_->buffer().size() == 0) {
        channel_->keepAlive = reply_.keepAlive.value_or(Millis(0));
        ++channel_->replies;
        releaseChannel();
    }
    end(refusal_.value_or(AttemptEnd::Complete));
}

void Attempt::finishCloseDelimited()
{
    // A socket reports a reset once, to whichever operation asks first. If the write got it, the read sees an
    // ordinary end.
    switch (write_) {
    case WriteState::Pending:
        awaitsWrite_ = true;
        armTimer(options_.gapTimeout, AttemptEnd::Silent);
        return;
    case WriteState::Complete:
        end(AttemptEnd::Complete);
        return;
    case WriteState::Failed:
        hasLostConnection_ = true;
        endInvalid("the connection was reset while the request was written, so its reply may be cut");
        return;
    }
}

void Attempt::endBroken(const ErrorCode& error)
{
    bool isClose = error == http::error::end_of_stream || error == http::error::partial_message;
    hasLostConnection_
        = isClose || error.category() != http::make_error_code(http::error::bad_version).category();
    endInvalid(error.message());
}

void Attempt::endInvalid(std::string problem)
{
    problem_ = std::move(problem);
    end(hasFailedToSend_ ? AttemptEnd::NotSent : AttemptEnd::Broken);
}

void Attempt::releaseChannel()
{
    ChannelPointer channel;
    channel.swap(channel_);
    pool_.release(channel, clock_.now());
}

void Attempt::end(AttemptEnd reason)
{
    if (isEnded_)
        return;
    AttemptListener* listener = listener_;
    cancel();
    listener->onAttemptEnd(reason);
}

void Attempt::cancel()
{
    if (isEnded_)
        return;
    isEnded_ = true;
    listener_ = nullptr;
    timer_.cancel();
    --endpoint_->running;
    if (channel_)
        channel_->reset();
    channel_.reset();
}

} // namespace ragwortwinch
