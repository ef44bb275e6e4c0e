// Connects to an endpoint and closes the connection again, to see whether its process listens.
//
//     std::shared_ptr<ConnectionProbe> probe = ConnectionProbe::start(io, endpoint, timeout, [](ProbeResult)
//     {}); probe->cancel();      // the callback isn't called any more
//
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace ragwortwinch {

enum class ProbeResult {
    Connected,
    // The host answers, but no process listens.
    Refused,
    // Nothing within the timeout, or another error of the network.
    NoAnswer,
};

class ConnectionProbe : public std::enable_shared_from_this<ConnectionProbe> {
public:
    using Callback = std::function<void(ProbeResult)>;

    // The probe keeps itself alive until it ends; `io` must outlive it.
    static std::shared_ptr<ConnectionProbe> start(
        boost::asio::io_context& io, const UpstreamPointer& endpoint, Millis timeout, Callback onDone);
    void cancel();

private:
    ConnectionProbe(boost::asio::io_context& io, Callback onDone);
    void connect(const boost::asio::ip::tcp::endpoint& address, Millis timeout);
    void end(ProbeResult result);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Callback onDone_;
};

} // namespace ragwortwinch
