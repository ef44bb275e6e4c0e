// One whole request of a caller, as it goes to endpoints.
#pragma once

#include "ragwortwinch/forward/request_codec.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

struct ForwardRequest {
    std::string method;
    // Path and query, exactly as the caller sent them.
    std::string target;
    HttpFields fields;
    std::string body;
    // What the header says, decoded once.
    CallerRequest caller;
    // HTTP/1.0 callers can't take chunks.
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
