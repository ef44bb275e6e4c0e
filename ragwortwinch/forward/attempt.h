// Sends a request to one endpoint once and receives its reply.
//
//     auto attempt = std::make_shared<Attempt>(io, pool, codec, clock, endpoint, options, listener);
//     attempt->start(head, body);
//     attempt->resume();      // after each onReplyBody
//     attempt->cancel();      // closes the connection, so that the endpoint stops the work
//
// A stale reply, to an earlier request, is recognised by its id and dropped. Confined to the forwarding
// thread; the listener is not called after `cancel` or `onAttemptEnd`.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/forward/channel_pool.h"
#include "ragwortwinch/forward/endpoint_channel.h"
#include "ragwortwinch/forward/request_codec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace ragwortwinch {

enum class AttemptEnd {
    // The whole reply was delivered.
    Complete,
    // No connection was made; nothing was sent.
    NotConnected,
    // The connection was lost before any byte of the request was written.
    NotSent,
    // The endpoint replied that it has not run the request.
    NotExecuted,
    // Another endpoint is at this address and has not run the request.
    Misdirected,
    // The connection failed or the reply was invalid; the request may have run.
    Broken,
    // A first-byte or gap timeout expired and the listener gave the attempt up; the request may have run.
    Silent,
};

inline constexpr NameTable<AttemptEnd, 7> attemptEndNames{{{
    {AttemptEnd::Complete, "complete"},
    {AttemptEnd::NotConnected, "not_connected"},
    {AttemptEnd::NotSent, "not_sent"},
    {AttemptEnd::NotExecuted, "not_executed"},
    {AttemptEnd::Misdirected, "misdirected"},
    {AttemptEnd::Broken, "broken"},
    {AttemptEnd::Silent, "silent"},
}}};

// Whether the request may have run whose attempt ended so.
constexpr bool mayHaveRun(AttemptEnd end)
{
    return end == AttemptEnd::Complete || end == AttemptEnd::Broken || end == AttemptEnd::Silent;
}

// Whether the request of an attempt that ended so has reached no endpoint.
constexpr bool isUnsent(AttemptEnd end)
{
    return end == AttemptEnd::NotConnected || end == AttemptEnd::NotSent;
}

// What to do about an attempt on which nothing has arrived for a while.
struct SilenceDecision {
    // Ends the attempt as Silent.
    bool mayEnd = true;
    // Otherwise, when to ask again if nothing arrives; zero for the same time as before.
    Millis askAgainAfter{0};
};

class AttemptListener {
public:
    virtual ~AttemptListener() = default;
    // Called before the first byte is sent. Returns true if nobody waits for the reply any more; the listener
    // has cancelled the attempt then.
    virtual bool cancelIfUnwanted() { return false; }
    // Called when nothing has arrived within the first-byte or gap timeout, and for `silence` in all. The
    // listener must not end the attempt itself.
    virtual SilenceDecision onSilence(Millis /*silence*/) { return {}; }
    // The reply's status line and fields. Not called for replies that end as NotExecuted or Misdirected.
    virtual void onReplyHead(int status, std::string_view reason, const HttpFields& fields) = 0;
    // Part of the body. The next part is delivered after `resume`.
    virtual void onReplyBody(std::string chunk) = 0;
    virtual void onAttemptEnd(AttemptEnd end) = 0;
};

struct AttemptOptions {
    std::string requestId;
    Millis connectTimeout{0};
    // Timeout for the reply's header; zero for none, so that only the request's deadline applies.
    Millis firstByteTimeout{0};
    // Timeout between parts of the reply; zero for none.
    Millis gapTimeout{0};
    // An idle connection is reused only below this fraction of its keep-alive time; zero for never.
    double maxIdleFraction = 0;
    bool isHeadRequest = false;
    // A successful reply must be the endpoint's own, by its signature.
    bool needsSignature = false;
};

class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    // `listener` must stay valid until `onAttemptEnd` or `cancel`. `pool`, `codec` and `clock` must outlive
    // the attempt.
    Attempt(boost::asio::io_context& context, ChannelPool& pool, const RequestCodec& codec,
        const Clock& clock, UpstreamPointer endpoint, AttemptOptions options, AttemptListener& listener);

    // `head` is the request line and the fields, with the blank line.
    void start(std::string head, std::shared_ptr<const std::string> body);
    // Reads on after `onReplyBody`.
    void resume();
    // Ends the attempt as Broken, since its reply is invalid or belongs to another request.
    void endInvalid(std::string problem);
    // Ends the attempt without calling the listener.
    void cancel();
    // Replaces the listener, which must stay valid as the one before.
    void setListener(AttemptListener& listener) { listener_ = &listener; }

    const UpstreamPointer& endpoint() const { return endpoint_; }
    // True once any byte may have been sent.
    bool mayHaveBeenSent() const { return mayHaveBeenSent_; }
    bool hasReusedChannel() const { return hasReusedChannel_; }
    // Whether the attempt ended as Broken since the connection was closed or reset, not by an invalid reply.
    bool hasLostConnection() const { return hasLostConnection_; }
    // Why the attempt ended as Broken; empty otherwise.
    const std::string& problem() const { return problem_; }
    // Whether the reply had neither a length nor chunks, so that the end of the connection was its end.
    bool isDelimitedByClose() const { return isDelimitedByClose_; }

private:
    // Of the request.
    enum class WriteState { Pending, Complete, Failed };

    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void onWritten(const boost::system::error_code& error, std::size_t bytes);
    // Replaces the current timeout; zero only cancels it.
    void armTimer(Millis timeout, AttemptEnd end);
    void startTimer(Millis timeout, AttemptEnd end);
    void onTimeout(Millis timeout, AttemptEnd end);
    void readHead();
    void onHead(const boost::system::error_code& error);
    // Keeps what the endpoint says of itself in the current reply.
    void takeNotices(int status);
    bool belongsToRequest(const EndpointReply& reply) const;
    // Returns why a reply with this request's id and status isn't the endpoint's, or an empty string.
    std::string foreignReplyProblem(int status) const;
    void readBody();
    void onBody(const boost::system::error_code& error);
    void deliver();
    void finishReply();
    // Handles a reply that ended with its connection, which is complete if the connection wasn't reset.
    void finishCloseDelimited();
    // Ends a reply that couldn't be read to its end.
    void endBroken(const boost::system::error_code& error);
    void end(AttemptEnd end);
    void releaseChannel();

    boost::asio::io_context& context_;
    ChannelPool& pool_;
    const RequestCodec& codec_;
    const Clock& clock_;
    UpstreamPointer endpoint_;
    AttemptOptions options_;
    AttemptListener* listener_;
    boost::asio::steady_timer timer_;
    std::uint64_t timerGeneration_ = 0;
    // When the timer was armed last, other than to ask the listener again.
    Instant silentSince_;
    ChannelPointer channel_;
    std::string head_;
    std::shared_ptr<const std::string> body_;
    std::optional<Parser> parser_;
    // Set if the current reply is a refusal.
    std::optional<AttemptEnd> refusal_;
    bool isStale_ = false;
    int staleReplies_ = 0;
    int interimReplies_ = 0;
    std::size_t droppedBytes_ = 0;
    EndpointReply reply_;
    WriteState write_ = WriteState::Pending;
    // The reply ended with its connection while the request was still being written.
    bool awaitsWrite_ = false;
    // The connection took no byte of the request.
    bool hasFailedToSend_ = false;
    bool mayHaveBeenSent_ = false;
    bool hasReusedChannel_ = false;
    bool hasLostConnection_ = false;
    bool isDelimitedByClose_ = false;
    bool isEnded_ = false;
    std::string problem_;
};

} // namespace ragwortwinch
