#include "ragwortwinch/forward/connection_probe.h"

namespace ragwortwinch {

using ErrorCode = boost::system::error_code;

std::shared_ptr<ConnectionProbe> ConnectionProbe::start(
    boost::asio::io_context& io, const UpstreamPointer& endpoint, Millis timeout, Callback onDone)
{
    std::shared_ptr<ConnectionProbe> probe(new ConnectionProbe(io, std::move(onDone)));
    probe->connect(endpoint->socketAddress, timeout);
    return probe;
}

ConnectionProbe::ConnectionProbe(boost::asio::io_context& io, Callback onDone)
    : socket_(io)
    , timer_(io)
    , onDone_(std::move(onDone))
{
}

void ConnectionProbe::connect(const boost::asio::ip::tcp::endpoint& address, Millis timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
        if (!error)
            self->end(ProbeResult::NoAnswer);
    });
    socket_.async_connect(address, [self = shared_from_this()](const ErrorCode& error) {
        if (!error)
            self->end(ProbeResult::Connected);
        else if (error == boost::asio::error::connection_refused)
            self->end(ProbeResult::Refused);
        else
            self->end(ProbeResult::NoAnswer);
    });
}

void ConnectionProbe::cancel()
{
    onDone_ = nullptr;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
}

void ConnectionProbe::end(ProbeResult result)
{
    Callback onDone = std::move(onDone_);
    cancel();
    if (onDone)
        onDone(result);
}

} // namespace ragwortwinch
