// One connection to an endpoint, with its buffer of bytes that were read but not parsed yet.
//
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace ragwortwinch {

class EndpointChannel {
public:
    // Limit on the bytes that were read but not parsed. What the parser can't use piece by piece must fit:
    // the head of a reply, the line with the size of a chunk, and the trailer.
    static constexpr std::size_t maxUnparsedBytes = 80 * 1024;

    EndpointChannel(boost::asio::io_context& context, UpstreamPointer endpoint);
    ~EndpointChannel();
    EndpointChannel(const EndpointChannel&) = delete;
    EndpointChannel& operator=(const EndpointChannel&) = delete;

    // Sets the options of a socket that has just connected.
    void configure();
    // True if the connection is open and no unsolicited data has arrived; only then may it be reused.
    bool isIdleAndOpen();
    // Closes with a TCP reset, so that the endpoint stops the work at once.
    void reset();

    boost::asio::ip::tcp::socket& socket() { return socket_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }
    const UpstreamPointer& endpoint() const { return endpoint_; }

    // When the last reply ended.
    Instant idleSince;
    // How long the endpoint keeps an idle connection open; zero if unknown.
    Millis keepAlive{0};
    // Number of replies received.
    std::int64_t replies = 0;

private:
    UpstreamPointer endpoint_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_{maxUnparsedBytes};
};

using ChannelPointer = std::shared_ptr<EndpointChannel>;

} // namespace ragwortwinch
