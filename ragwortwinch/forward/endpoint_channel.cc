#include "ragwortwinch/forward/endpoint_channel.h"

#include "ragwortwinch/forward/socket_options.h"

#include <sys/socket.h>

namespace ragwortwinch {

EndpointChannel::EndpointChannel(boost::asio::io_context& context, UpstreamPointer endpoint)
    : endpoint_(std::move(endpoint))
    , socket_(context)
{
    ++endpoint_->openChannels;
}

EndpointChannel::~EndpointChannel() { --endpoint_->openChannels; }

void EndpointChannel::configure() { setEndpointOptions(socket_); }

bool EndpointChannel::isIdleAndOpen()
{
    if (!socket_.is_open() || buffer_.size() != 0)
        return false;
    char byte = 0;
    ssize_t size = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EndpointChannel::reset() { resetSocket(socket_); }

} // namespace ragwortwinch
