#include "ragwortwinch/dispatch/error_response.h"

#include "ragwortwinch/base/json.h"

namespace ragwortwinch {

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
    case ErrorKind::BadRules:
    case ErrorKind::BadSettings:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NoRoute:
        return 404;
    case ErrorKind::Conflict:
    case ErrorKind::StillRunning:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::OverLimit:
        return 429;
    case ErrorKind::EndpointFailed:
    case ErrorKind::OutcomeUnknown:
        return 502;
    case ErrorKind::NoCapacity:
    case ErrorKind::Quarantined:
    case ErrorKind::NotReady:
    case ErrorKind::Stale:
    case ErrorKind::StoreUnavailable:
    case ErrorKind::Draining:
        return 503;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

std::string errorBody(const Error& error, RunState run)
{
    Json body;
    body["error"] = {{"kind", errorKindNames.name(error.kind)}, {"type", errorKindNames.name(error.kind)},
        {"message", error.message}, {"request", runStateNames.name(run)}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse errorResponse(const Error& error, RunState run, int retryAfterSeconds)
{
    HttpResponse response = jsonResponse(statusOf(error.kind), errorBody(error, run));
    if (retryAfterSeconds > 0)
        response.headers.add("Retry-After", std::to_string(retryAfterSeconds));
    return response;
}

} // namespace ragwortwinch
