// Options and state of the sockets of all connections of the forwarding path.
#pragma once

#include "ragwortwinch/base/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace ragwortwinch::internal {

// Sets TCP_NODELAY, and timeouts after which a connection to an unresponsive peer fails.
void setStreamOptions(boost::asio::ip::tcp::socket&);

// Closes with a TCP reset; unsent data is dropped.
void resetSocket(boost::asio::ip::tcp::socket&);

// Returns how long ago the last bytes arrived, read or not, to some milliseconds; zero if the system doesn't
// tell.
Millis timeSinceInput(boost::asio::ip::tcp::socket&);

} // namespace ragwortwinch::internal
