// Options that every connection of the forwarding path has.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace ragwortwinch::internal {

// No delay, and bounds after which a connection whose other end is silent breaks.
void setStreamOptions(boost::asio::ip::tcp::socket&);

// Closes with a reset; what is still unsent is dropped.
void resetSocket(boost::asio::ip::tcp::socket&);

} // namespace ragwortwinch::internal
