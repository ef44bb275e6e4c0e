// Options and state of the sockets of all connections of the forwarding path.
#pragma once

#include "ragwortwinch/base/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace ragwortwinch {

// Sets TCP_NODELAY, and timeouts after which a connection to an endpoint fails that doesn't acknowledge or
// read.
void setEndpointOptions(boost::asio::ip::tcp::socket&);

// Sets the same for a connection of a caller, who may stop reading for `maxReadPause`.
void setCallerOptions(boost::asio::ip::tcp::socket&, Millis maxReadPause);

// Whether the peer has acknowledged nothing although bytes were sent again, for about as long as the timeout
// of an endpoint's connection. A peer that acknowledges but doesn't read is not unreachable. False if the
// system doesn't tell.
bool isUnreachable(boost::asio::ip::tcp::socket&);

// Closes with a TCP reset; unsent data is dropped.
void resetSocket(boost::asio::ip::tcp::socket&);

// Returns how long ago the last bytes arrived, read or not, to some milliseconds; zero if the system doesn't
// tell.
Millis timeSinceInput(boost::asio::ip::tcp::socket&);

} // namespace ragwortwinch
