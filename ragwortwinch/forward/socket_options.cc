#include "ragwortwinch/forward/socket_options.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ragwortwinch {

namespace {

// An endpoint's connection fails when data stays unacknowledged, or the peer reads nothing, for this long:
// enough for several round trips between regions and two lost packets, but less than the shortest time limit
// of a caller.
constexpr Millis endpointUserTimeout{1500};
// The third retransmission is sent about 1.4 s after the data.
constexpr int unreachableRetransmissions = 3;
// TCP keep-alive: when to probe an idle connection, the time between probes, and how many of them may stay
// unanswered before the connection fails.
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof(value));
}

void setStreamOptions(boost::asio::ip::tcp::socket& socket, Millis userTimeout)
{
    int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

} // namespace

void setEndpointOptions(boost::asio::ip::tcp::socket& socket)
{
    setStreamOptions(socket, endpointUserTimeout);
}

void setCallerOptions(boost::asio::ip::tcp::socket& socket, Millis maxReadPause)
{
    setStreamOptions(socket, std::max(maxReadPause, endpointUserTimeout));
}

bool isUnreachable(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size == sizeof(info) && info.tcpi_unacked > 0
        && info.tcpi_retransmits >= unreachableRetransmissions;
}

Millis timeSinceInput(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof(info))
        return Millis(0);
    return Millis(info.tcpi_last_data_recv);
}

void resetSocket(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace ragwortwinch
