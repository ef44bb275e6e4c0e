// Sends a request to one endpoint once and takes the answer that belongs to it.
//
//     std::shared_ptr<Attempt> attempt = Attempt::start(context, endpoint, sendOptions, text, listener);
//     attempt->resume();      // after each onReplyBody
//     attempt->cancel();      // the endpoint stops working for it
//
// An answer to an earlier request that arrives late is recognised by its id and dropped. Belongs to the
// forwarding thread; after `cancel` or `onAttemptEnd` the listener is not called again.
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

// How an attempt ended.
enum class AttemptEnd {
    // The whole answer was delivered.
    Complete,
    // No connection: no byte has left this VM.
    NotConnected,
    // The endpoint said that it has not run the request.
    NotExecuted,
    // Another endpoint is at the address; it has not run the request.
    Misdirected,
    // The connection or the answer broke; the request may have run.
    Broken,
    // Nothing came for longer than allowed; the request may have run.
    Silent,
};

inline constexpr NameTable<AttemptEnd, 6> attemptEndNames{{{
    {AttemptEnd::Complete, "complete"},
    {AttemptEnd::NotConnected, "not_connected"},
    {AttemptEnd::NotExecuted, "not_executed"},
    {AttemptEnd::Misdirected, "misdirected"},
    {AttemptEnd::Broken, "broken"},
    {AttemptEnd::Silent, "silent"},
}}};

class AttemptListener {
public:
    virtual ~AttemptListener() = default;
    // The header of the answer. Not called for answers that end as NotExecuted or Misdirected.
    virtual void onReplyHead(int status, std::string_view reason, const HttpFields& fields) = 0;
    // A piece of the body; the next one comes after `resume`.
    virtual void onReplyBody(std::string piece) = 0;
    virtual void onAttemptEnd(AttemptEnd end) = 0;
};

struct AttemptOptions {
    std::string requestId;
    Millis connectTimeout{0};
    // The longest wait for the header; zero means that only the caller's time limit ends it.
    Millis firstByteTimeout{0};
    // The longest silence inside an answer; zero as above.
    Millis gapTimeout{0};
    // An idle connection is used only if it has been idle for less than this part of its life.
    double maxIdleFraction = 0;
    bool isHead = false;
};

class Attempt : public std::enable_shared_from_this<Attempt> {
public:
    // `listener` stays valid until the end or `cancel`. `pool` and `codec` outlive the attempt.
    Attempt(boost::asio::io_context& context, ChannelPool& pool, const RequestCodec& codec,
        const Clock& clock, UpstreamPointer endpoint, AttemptOptions options, AttemptListener& listener);

    // Sends the header and the body; `body` outlives the attempt through `owner`.
    void start(std::string head, std::shared_ptr<const std::string> body);
    // Reads on after a piece of the body.
    void resume();
    // Ends the attempt without a further call to the listener.
    void cancel();

    const UpstreamPointer& endpoint() const { return endpoint_; }
    // True once a byte may have left this VM.
    bool mayHaveBeenSent() const { return mayHaveBeenSent_; }
    bool hasReusedChannel() const { return hasReusedChannel_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void send();
    void armTimer(Millis timeout, AttemptEnd end);
    void readHead();
    void onHead(const boost::system::error_code& error);
    bool belongsToRequest(const EndpointReply& reply) const;
    void readBody();
    void onBody(const boost::system::error_code& error);
    void deliver();
    void finishReply();
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
    ChannelPointer channel_;
    std::string head_;
    std::shared_ptr<const std::string> body_;
    std::optional<Parser> parser_;
    // What the present answer is, once its header is read.
    std::optional<AttemptEnd> refusal_;
    bool isStale_ = false;
    int staleReplies_ = 0;
    EndpointReply reply_;
    bool isWritten_ = false;
    bool mayHaveBeenSent_ = false;
    bool hasReusedChannel_ = false;
    bool isEnded_ = false;
};

} // namespace ragwortwinch
