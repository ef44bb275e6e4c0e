#include "ragwortwinch/forward/local_reply.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/forward/request_codec.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace ragwortwinch {

std::string relayedHead(int status, std::string_view reason, const HttpFields& fields)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    for (const HttpFields::value_type& field : fields) {
        std::string_view name(field.name_string().data(), field.name_string().size());
        if (isConnectionField(name))
            continue;
        head += name;
        head += ": ";
        head.append(field.value().data(), field.value().size());
        head += "\r\n";
    }
    return head;
}

std::string localReplyHead(int status, Millis retryAfter)
{
    boost::beast::string_view reason
        = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n", status,
        std::string_view(reason.data(), reason.size()));
    if (retryAfter.count() > 0)
        head += fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(retryAfter.count()) / 1000);
    return head;
}

std::string errorBody(ErrorKind kind, const std::string& message)
{
    Json body;
    body["error"] = {{"kind", errorKindNames.name(kind)}, {"message", message}};
    return body.dump();
}

} // namespace ragwortwinch
