// Error responses to callers: a kind, a message that names the remedy, and whether the request ran.
//
//     responder->send(errorResponse({ ErrorKind::NoRoute, "..." }, RunState::NotRun));
#pragma once

#include "ragwortwinch/base/error.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/net/http_message.h"

#include <string>

namespace ragwortwinch {

// Returns the HTTP status for a kind of error.
int statusOf(ErrorKind);

// Returns {"error": {"kind", "type", "message", "request"}}; "type" repeats the kind, "request" is the run
// state.
std::string errorBody(const Error&, RunState);

// Adds a Retry-After header if `retryAfterSeconds` is not 0.
HttpResponse errorResponse(const Error&, RunState, int retryAfterSeconds = 0);

} // namespace ragwortwinch
