#include "ragwortwinch/forward/request_codec.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>

namespace ragwortwinch {

bool isConnectionField(std::string_view name)
{
    static constexpr std::string_view names[]
        = {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
            "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"};
    for (std::string_view candidate : names) {
        if (boost::beast::iequals(candidate, name))
            return true;
    }
    return false;
}

std::optional<Millis> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    std::from_chars_result result
        = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    bool isNumber = !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!isNumber || !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    double limit = std::chrono::duration<double>(maxRetryAfter).count();
    // Rounds up, so that the named time is over.
    return Millis(static_cast<std::int64_t>(std::ceil(std::min(seconds, limit) * 1000)));
}

} // namespace ragwortwinch
