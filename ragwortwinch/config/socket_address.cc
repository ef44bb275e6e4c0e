#include "ragwortwinch/config/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace ragwortwinch {

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    SocketAddress address;
    address.host = text.substr(0, colon);
    in_addr parsed{};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
        return std::nullopt;
    std::string_view digits = text.substr(colon + 1);
    std::from_chars_result result
        = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size())
        return std::nullopt;
    return address;
}

} // namespace ragwortwinch
