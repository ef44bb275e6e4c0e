// One complete request of a caller, as it is forwarded to endpoints.
#pragma once

#include "ragwortwinch/forward/request_codec.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

struct ForwardRequest {
    std::string method;
    // Path and query, as the caller sent them.
    std::string target;
    HttpFields fields;
    std::string body;
    // Decoded from `fields`.
    CallerRequest caller;
    // How long the request lay unread.
    Millis unreadFor{0};
    // HTTP/1.0 callers can't decode chunked replies.
    bool isHttp10 = false;
    bool wantsKeepAlive = true;

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
    std::string_view host() const
    {
        auto found = fields.find(boost::beast::http::field::host);
        return found == fields.end() ? std::string_view()
                                     : std::string_view(found->value().data(), found->value().size());
    }
};

} // namespace ragwortwinch
