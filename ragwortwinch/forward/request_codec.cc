#include "ragwortwinch/forward/request_codec.h"

#include <boost/beast/core/string.hpp>

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

} // namespace ragwortwinch
