// The end of a caller's connection.
#include "ragwortwinch/caller/caller_session.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/forward/socket_options.h"

#include <array>
#include <sys/socket.h>

namespace ragwortwinch {

namespace {

// How long a connection is kept open after its last reply, to discard what the caller still sends.
constexpr Millis lingerTime{300};
constexpr std::size_t lingerBufferBytes = 4096;

} // namespace

bool CallerSession::hasUnreadBytes()
{
    char byte = 0;
    return recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerSession::abort()
{
    resetSocket(socket_);
    close(ConnectionEnd::Aborted);
}

// Shuts down sending and discards what the caller still sends: closing with unread bytes would reset the
// connection before the caller has the reply.
void CallerSession::linger()
{
    state_ = State::Closing;
    droppedBytes_ = buffer_.size();
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    ErrorCode ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(lingerTime, [this] { close(ConnectionEnd::AfterReply); });
    std::shared_ptr<std::array<char, lingerBufferBytes>> discarded
        = std::make_shared<std::array<char, lingerBufferBytes>>();
    std::shared_ptr<std::function<void()>> discardMore = std::make_shared<std::function<void()>>();
    // Weak, so that the function doesn't own itself; the pending read owns it.
    std::weak_ptr<std::function<void()>> weak = discardMore;
    *discardMore = [self = shared_from_this(), discarded, weak] {
        self->socket_.async_read_some(boost::asio::buffer(*discarded),
            [self, discarded, discardMore = weak.lock()](const ErrorCode& error, std::size_t size) {
                self->droppedBytes_ += size;
                if (error)
                    self->close(ConnectionEnd::AfterReply);
                else if (discardMore)
                    (*discardMore)();
            });
    };
    (*discardMore)();
}

void CallerSession::closeIfIdle(Millis minIdle)
{
    bool isIdleLongEnough = state_ == State::Idle && context_.clock.now() - idleSince_ >= minIdle;
    if (isIdleLongEnough && !hasUnreadBytes())
        close(ConnectionEnd::IdleAtStop);
}

bool CallerSession::closeForRoom()
{
    if (state_ != State::Idle || hasUnreadBytes())
        return false;
    close(ConnectionEnd::IdleForRoom);
    return true;
}

bool CallerSession::isCallerUnreachable() { return isWriting_ && isUnreachable(socket_); }

void CallerSession::endUnreachable() { cancelAndClose(ConnectionEnd::WriteFailed); }

void CallerSession::endRequest()
{
    std::shared_ptr<Exchange> exchange = exchange_;
    if (exchange)
        exchange->endAtStop();
}

UnansweredInput CallerSession::unansweredInput()
{
    if (request_ && !isReplyComplete_)
        return UnansweredInput::Request;
    if (droppedBytes_ > 0 && !isInputRejected_)
        return UnansweredInput::Dropped;
    bool hasPart = state_ == State::Reading && parser_ && parser_->got_some();
    return hasPart || hasUnreadBytes() ? UnansweredInput::Unread : UnansweredInput::None;
}

void CallerSession::reportEnd(ConnectionEnd end)
{
    UnansweredInput input = unansweredInput();
    context_.metrics.onConnectionEnd(end, input);
    bool isExpected = input == UnansweredInput::None || end == ConnectionEnd::CallerGone || isInputRejected_;
    Instant now = context_.clock.now();
    if (isExpected || !context_.log.shouldLogFailure(now))
        return;
    LogEvent("callers.unanswered", Severity::Warning)
        .with("end", connectionEndNames.name(end))
        .with("input", unansweredInputNames.name(input))
        .with("last_request", request_ ? request_->caller.id : std::string())
        .with("dropped_bytes", droppedBytes_)
        .with("since_input_ms", timeSinceInput(socket_).count())
        .with("announced", mustClose_)
        .with("stopping", owner_.isDraining())
        .with("lag_ms", context_.lag.recentLag(now).count());
}

void CallerSession::close(ConnectionEnd end)
{
    if (state_ == State::Closed)
        return;
    std::shared_ptr<CallerSession> self = shared_from_this();
    reportEnd(end);
    state_ = State::Closed;
    ++timerGeneration_;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    releaseBuffered();
    owner_.onSessionEnd(self);
}

void CallerSession::dropInput()
{
    if (!parser_)
        return;
    parser_->get().body().refuse();
    memory_.release(fieldBytes_);
    fieldBytes_ = 0;
    // The handler of the pending read sees the changed state.
    ErrorCode ignored;
    if (!isWriting_)
        socket_.cancel(ignored);
}

void CallerSession::releaseBuffered()
{
    memory_.release(fieldBytes_ + bodyBytes_);
    fieldBytes_ = 0;
    bodyBytes_ = 0;
    context_.replyMemory.bytes -= heldReplyBytes_;
    heldReplyBytes_ = 0;
}

} // namespace ragwortwinch
