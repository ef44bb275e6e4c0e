// An IPv4 address and a port, written in settings and rules as "10.0.3.7:8080".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    // Returns "host:port".
    std::string text() const { return host + ":" + std::to_string(port); }
    bool operator==(const SocketAddress&) const = default;
};

// Returns the address, or nothing when `text` is not an IPv4 address and a port.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace ragwortwinch
