// One connection of a caller: reads its requests one after the other, runs each in an exchange, and writes
// the replies.
//
// A request is started, sent and sent again only while its caller is connected, and stopped as soon as it
// disconnects. Bytes that the caller has sent behind the request are read ahead, up to a limit, so that they
// don't hide the end of the connection. A connection is closed only after a reply that announced it, or while
// it waits for a request. A caller that closes only its sending side counts as disconnected.
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/caller/charged_body.h"
#include "ragwortwinch/forward/connection_end.h"
#include "ragwortwinch/forward/exchange.h"
#include "ragwortwinch/forward/forward_context.h"
#include "ragwortwinch/forward/reply_sink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace ragwortwinch {

// The server that a session belongs to.
class SessionOwner {
public:
    virtual ~SessionOwner() = default;
    virtual void onSessionEnd(const std::shared_ptr<class CallerSession>& session) = 0;
    // True while this VM is stopping: each reply that begins announces the end of its connection.
    virtual bool isDraining() const = 0;
};

class CallerSession final : public std::enable_shared_from_this<CallerSession>, private ReplySink {
public:
    CallerSession(ForwardContext& context, SessionOwner& owner, boost::asio::ip::tcp::socket socket);
    ~CallerSession() override;

    void start();
    // Closes the connection if it has waited for a request for at least `minIdle` and has no unread bytes.
    void closeIfIdle(Millis minIdle);
    // Closes the connection to make room if it waits for a request and has no unread bytes. Returns whether
    // it did.
    bool closeForRoom();
    bool isIdle() const { return state_ == State::Idle; }
    // When the connection began to wait for a request; meaningful while it is idle.
    Instant idleSince() const { return idleSince_; }
    // The caller's address without the port.
    const std::string& address() const { return memory_.address(); }
    // Whether bytes wait to be sent and the caller's system doesn't respond.
    bool isCallerUnreachable();
    void endUnreachable();
    // What the connection holds for its request.
    const MemoryCharge& memory() const { return memory_; }
    // Whether a request is being read of which nothing has arrived for `stallTime`.
    bool isStalled(Millis stallTime);
    // Ends a stalled request with 408 and releases its memory.
    void endStalled();
    // Ends the request in progress, if any, with what can be told now.
    void endRequest();
    // Reports a connection that ends with the process.
    void onProcessEnd() { reportEnd(ConnectionEnd::ProcessEnd); }

private:
    enum class State {
        // Between requests; nothing of the next one has been read.
        Idle,
        Reading,
        // The exchange runs and has not started its reply.
        Running,
        // The reply is being written or streamed.
        Replying,
        Closing,
        Closed,
    };
    using Parser = boost::beast::http::request_parser<ChargedBody>;
    using Buffer = boost::beast::basic_flat_buffer<ChargedAllocator<char>>;
    using ErrorCode = boost::system::error_code;

    void sendWhole(std::string head, std::string body, bool hasNoBody) override;
    void beginStream(std::string head, std::string first, std::function<void()> onWritten) override;
    void writeStream(std::string bytes, std::function<void()> onWritten) override;
    void endStream(std::string last) override;
    bool endIfCallerGone() override;
    void abort() override;

    CallerLimits limits() const;
    void waitForRequest();
    void watch();
    void onReadable(const ErrorCode& error);
    void readRequest();
    void onHeader(const ErrorCode& error);
    // Charges what the header takes beside the buffer, and the body if it has a length.
    bool chargeRequest();
    void readBody();
    void rejectForMemory();
    // Whether a read failed for lack of memory.
    bool isOutOfMemory(const ErrorCode& error) const;
    // Gives up a body of which nothing arrives.
    void checkStall(Instant bodyStart);
    void onBody(const ErrorCode& error);
    void rejectInput(int status, ErrorKind kind, const std::string& message);
    std::string inputProblem() const;
    void run();
    // Cancels the request in progress, if any, and closes the connection.
    void cancelAndClose(ConnectionEnd end);
    void onWriteError(const ErrorCode& error);
    // Reads what the caller has sent behind the request, without waiting. Returns whether the connection has
    // ended.
    bool readAhead();
    bool hasUnreadBytes();
    // Replaces the current timeout; zero only cancels it.
    void armTimer(Millis timeout, std::function<void()> onExpired);
    // Returns the field that tells the caller whether the connection ends with this reply, and remembers it.
    std::string connectionField();
    void write(std::string bytes, std::function<void()> onWritten);
    void onReplied();
    void linger();
    void close(ConnectionEnd end);
    UnansweredInput unansweredInput();
    // Counts the end of the connection, and logs it if a request was lost with it.
    void reportEnd(ConnectionEnd end);
    // Ends the read of a rejected request and frees what has been read of it.
    void dropInput();
    void releaseBuffered();

    ForwardContext& context_;
    SessionOwner& owner_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::uint64_t timerGeneration_ = 0;
    MemoryCharge memory_;
    Buffer buffer_;
    std::optional<Parser> parser_;
    State state_ = State::Idle;
    Instant idleSince_;
    bool isWatching_ = false;
    // Bytes behind the request are left unread.
    bool isReadAheadFull_ = false;
    std::shared_ptr<ForwardRequest> request_;
    std::shared_ptr<Exchange> exchange_;
    std::string outgoing_;
    std::string outgoingBody_;
    bool isWriting_ = false;
    // The current reply announces the end of the connection.
    bool mustClose_ = false;
    bool isChunked_ = false;
    // The last request's reply has been written.
    bool isReplyComplete_ = true;
    // The last request was invalid or its body found no memory.
    bool isInputRejected_ = false;
    // Read behind the last request and dropped.
    std::size_t droppedBytes_ = 0;
    // Parts of `memory_`: the fields of the request, and its body once it is complete.
    std::size_t fieldBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    // Part of `ReplyMemory::bytes`: a whole reply until it has been written.
    std::size_t heldReplyBytes_ = 0;
};

} // namespace ragwortwinch
