// One connection to an endpoint, with the bytes read from it that no answer has claimed.
//
// Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/upstream_endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace ragwortwinch {

class EndpointChannel {
public:
    EndpointChannel(boost::asio::io_context& context, UpstreamPointer endpoint);
    ~EndpointChannel();
    EndpointChannel(const EndpointChannel&) = delete;
    EndpointChannel& operator=(const EndpointChannel&) = delete;

    // Sets the options of a socket that has just connected.
    void configure();
    // True when nothing has arrived and the other end has not closed: only such a channel takes a request.
    bool isIdleAndOpen();
    // Closes at once with a reset, so that the endpoint stops working for it.
    void reset();

    boost::asio::ip::tcp::socket& socket() { return socket_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }
    const UpstreamPointer& endpoint() const { return endpoint_; }

    // When the last answer ended, and how long the endpoint keeps an idle connection.
    Instant idleSince;
    Millis keepAlive{0};
    // Answers taken from it.
    std::int64_t replies = 0;

private:
    UpstreamPointer endpoint_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

using ChannelPointer = std::shared_ptr<EndpointChannel>;

} // namespace ragwortwinch
