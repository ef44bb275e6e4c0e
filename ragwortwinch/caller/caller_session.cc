#include "ragwortwinch/caller/caller_session.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>

namespace ragwortwinch {

namespace http = boost::beast::http;

namespace {

// Limit on what is read behind a request while it runs: enough for a small request, and little for each of
// many connections.
constexpr std::size_t maxReadAheadBytes = 8192;
constexpr std::size_t readAheadStepBytes = 1024;
// An idle connection keeps a buffer of this size, enough for the head of an ordinary request.
constexpr std::size_t maxIdleBufferBytes = 2048;
// How often the end of a connection is looked for while more than that is unread. Half of the time within
// which the work for a caller that has left must stop.
constexpr Millis endCheckInterval{250};

// Returns the address without the port, or an empty string if the connection has ended.
std::string addressOf(const boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    boost::asio::ip::tcp::endpoint peer = socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

std::string chunk(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

} // namespace

CallerSession::CallerSession(
    ForwardContext& context, SessionOwner& owner, boost::asio::ip::tcp::socket socket)
    : context_(context)
    , owner_(owner)
    , socket_(std::move(socket))
    , timer_(context.io)
    , memory_(context.memory, addressOf(socket_))
    , buffer_(ChargedAllocator<char>(memory_))
{
}

CallerSession::~CallerSession() { releaseBuffered(); }

void CallerSession::start()
{
    // As long as the operators let a caller wait between requests.
    setCallerOptions(socket_, limits().idleTimeout);
    waitForRequest();
}

CallerLimits CallerSession::limits() const
{
    std::shared_ptr<const TrafficTable> traffic = *context_.traffic.read();
    return traffic ? traffic->config().limits : CallerLimits{};
}

void CallerSession::waitForRequest()
{
    state_ = State::Idle;
    idleSince_ = context_.clock.now();
    request_.reset();
    parser_.reset();
    releaseBuffered();
    std::string().swap(outgoing_);
    if (buffer_.size() != 0) {
        readRequest();
        return;
    }
    if (buffer_.capacity() > maxIdleBufferBytes)
        buffer_.shrink_to_fit();
    armTimer(limits().idleTimeout, [this] {
        // A request may have arrived that this thread has not come to yet.
        if (!hasUnreadBytes())
            close(ConnectionEnd::IdleTimeout);
    });
    watch();
}

void CallerSession::watch()
{
    if (isWatching_ || state_ == State::Closed)
        return;
    isWatching_ = true;
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
            self->isWatching_ = false;
            self->onReadable(error);
        });
}

void CallerSession::onReadable(const ErrorCode& error)
{
    if (state_ == State::Closed || state_ == State::Reading || state_ == State::Closing)
        return;
    if (state_ == State::Idle) {
        if (error)
            close(ConnectionEnd::CallerGone);
        else
            readRequest();
        return;
    }
    // A read of a rejected request is still pending.
    if (parser_)
        return;
    if (error || readAhead())
        cancelAndClose(ConnectionEnd::CallerGone);
    else if (buffer_.size() < maxReadAheadBytes && !isReadAheadFull_)
        watch();
    else
        // Watching would report the unread bytes again at once.
        armTimer(endCheckInterval, [this] { onReadable({}); });
}

bool CallerSession::readAhead()
{
    isReadAheadFull_ = false;
    std::array<char, readAheadStepBytes> bytes;
    while (buffer_.size() < maxReadAheadBytes) {
        std::size_t most = std::min(bytes.size(), maxReadAheadBytes - buffer_.size());
        // Looks first, so that a connection without such bytes gets no buffer for them.
        ssize_t size = recv(socket_.native_handle(), bytes.data(), most, MSG_DONTWAIT | MSG_PEEK);
        if (size <= 0)
            return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
        try {
            boost::asio::mutable_buffer space = buffer_.prepare(static_cast<std::size_t>(size));
            size = recv(socket_.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        } catch (const std::length_error&) {
            // There is no memory: the bytes are left unread.
            isReadAheadFull_ = true;
            break;
        }
        if (size <= 0)
            return true;
        buffer_.commit(static_cast<std::size_t>(size));
    }
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0;
}

bool CallerSession::endIfCallerGone()
{
    if (state_ != State::Closed && !readAhead())
        return false;
    cancelAndClose(ConnectionEnd::CallerGone);
    return true;
}

void CallerSession::cancelAndClose(ConnectionEnd end)
{
    if (exchange_)
        exchange_->cancel();
    exchange_.reset();
    close(end);
}

void CallerSession::run()
{
    state_ = State::Running;
    isReplyComplete_ = false;
    armTimer(Millis(0), nullptr);
    http::request<ChargedBody> message = parser_->release();
    bodyBytes_ = message.body().chargedBytes();
    parser_.reset();
    std::shared_ptr<ForwardRequest> request = std::make_shared<ForwardRequest>();
    request->method = std::string(message.method_string());
    request->target = std::string(message.target());
    request->isHttp10 = message.version() < 11;
    request->wantsKeepAlive = message.keep_alive();
    request->body = message.body().take();
    request->fields = std::move(static_cast<HttpFields&>(message.base()));
    request->caller = context_.codec.decodeRequest(request->fields);
    request->unreadFor = timeSinceInput(socket_);
    mustClose_ = !request->wantsKeepAlive;
    request_ = std::move(request);
    watch();
    exchange_ = std::make_shared<Exchange>(
        context_, request_, static_cast<ReplySink&>(*this), [this] { exchange_.reset(); });
    std::shared_ptr<Exchange> exchange = exchange_;
    exchange->start();
}

std::string CallerSession::connectionField()
{
    if (owner_.isDraining())
        mustClose_ = true;
    if (mustClose_)
        return "Connection: close\r\n";
    return request_ && request_->isHttp10 ? "Connection: keep-alive\r\n" : "";
}

void CallerSession::sendWhole(std::string head, std::string body, bool hasNoBody)
{
    state_ = State::Replying;
    head += connectionField();
    head += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    if (!hasNoBody)
        head += body;
    context_.replyMemory.bytes += head.size();
    heldReplyBytes_ = head.size();
    write(std::move(head), [self = shared_from_this()] { self->onReplied(); });
}

void CallerSession::beginStream(std::string head, std::string first, std::function<void()> onWritten)
{
    state_ = State::Replying;
    isChunked_ = !request_->isHttp10;
    if (!isChunked_)
        mustClose_ = true;
    head += connectionField();
    if (isChunked_)
        head += "Transfer-Encoding: chunked\r\n";
    head += "\r\n";
    head += isChunked_ ? chunk(first) : first;
    write(std::move(head), std::move(onWritten));
}

void CallerSession::writeStream(std::string bytes, std::function<void()> onWritten)
{
    write(isChunked_ ? chunk(bytes) : std::move(bytes), std::move(onWritten));
}

void CallerSession::endStream(std::string last)
{
    std::string bytes = std::move(last);
    if (isChunked_)
        bytes = (bytes.empty() ? std::string() : chunk(bytes)) + "0\r\n\r\n";
    write(std::move(bytes), [self = shared_from_this()] { self->onReplied(); });
}

void CallerSession::write(std::string bytes, std::function<void()> onWritten)
{
    outgoing_ = std::move(bytes);
    isWriting_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(outgoing_),
        [self = shared_from_this(), onWritten = std::move(onWritten)](const ErrorCode& error, std::size_t) {
            self->isWriting_ = false;
            if (self->state_ == State::Closed)
                return;
            if (error) {
                self->onWriteError(error);
                return;
            }
            onWritten();
        });
}

void CallerSession::onWriteError(const ErrorCode& error)
{
    bool hasCallerLeft
        = error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe;
    if (!hasCallerLeft && context_.log.shouldLogFailure(context_.clock.now()))
        LogEvent("callers.write_failed", Severity::Warning)
            .with("request", request_ ? request_->caller.id : std::string())
            .with("problem", error.message())
            .with("bytes", outgoing_.size());
    cancelAndClose(hasCallerLeft ? ConnectionEnd::CallerGone : ConnectionEnd::WriteFailed);
}

void CallerSession::onReplied()
{
    isReplyComplete_ = true;
    releaseBuffered();
    // The caller may have sent its next request unless the reply has announced the end.
    if (mustClose_) {
        linger();
        return;
    }
    waitForRequest();
}

void CallerSession::armTimer(Millis timeout, std::function<void()> onExpired)
{
    std::uint64_t generation = ++timerGeneration_;
    if (timeout.count() <= 0) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this(), generation, onExpired = std::move(onExpired)](const ErrorCode& error) {
            if (!error && generation == self->timerGeneration_ && self->state_ != State::Closed)
                onExpired();
        });
}

} // namespace ragwortwinch
