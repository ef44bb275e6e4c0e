#include "ragwortwinch/ctl/admin_client.h"

#include <fmt/format.h>

namespace ragwortwinch {

namespace {

constexpr Millis callTimeout{20000};

} // namespace

AdminClient::AdminClient(std::string address)
    : address_(std::move(address))
    , client_(makeCurlHttpClient())
{
}

Result<Json> AdminClient::call(HttpCallBuilder builder)
{
    HttpCallResult result
        = callAndWait(*client_, builder.connectTimeout(Millis(3000)).totalTimeout(callTimeout).build());
    if (result.end != CallEnd::Complete)
        return makeError(ErrorKind::EndpointFailed,
            fmt::format("no response from {} ({}); check that it is the operators' port of a running node",
                address_, result.detail));
    Json body = parseJsonOrDiscard(result.body);
    if (result.isOk())
        return body;
    Json error = body.is_object() && body.contains("error") ? body["error"] : Json::object();
    ErrorKind kind = errorKindNames.parse(stringMember(error, "kind")).value_or(ErrorKind::Internal);
    std::string message = stringMember(error, "message");
    return makeError(kind,
        message.empty() ? fmt::format(
            "{} returned status {} without an error; check that it is the operators' port of a node",
            address_, result.status)
                        : message);
}

Result<Json> AdminClient::get(const std::string& path)
{
    return call(HttpCallBuilder("GET", "http://" + address_ + path));
}

Result<Json> AdminClient::put(const std::string& path, std::string body)
{
    return call(HttpCallBuilder("PUT", "http://" + address_ + path).body(std::move(body)));
}

Result<Json> AdminClient::post(const std::string& path, std::string body)
{
    return call(HttpCallBuilder("POST", "http://" + address_ + path).body(std::move(body)));
}

} // namespace ragwortwinch
