// Heads and bodies of answers: those that are relayed, and those that the system gives itself.
#pragma once

#include "ragwortwinch/base/error.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_fields.h"

#include <string>
#include <string_view>

namespace ragwortwinch::internal {

// The status line and the fields of an endpoint's answer, less those of one connection.
std::string relayedHead(int status, std::string_view reason, const HttpFields& fields);

// The status line and the fields of an answer of our own. Zero leaves Retry-After out.
std::string localReplyHead(int status, Millis retryAfter);

std::string errorBody(ErrorKind kind, const std::string& message);

} // namespace ragwortwinch::internal
