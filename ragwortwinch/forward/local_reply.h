// Headers and bodies of replies: relayed ones of endpoints, and local ones that the system generates.
#pragma once

#include "ragwortwinch/base/error.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_fields.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns the status line and the fields of an endpoint's reply, without connection fields.
std::string relayedHead(int status, std::string_view reason, const HttpFields& fields);

// Returns the status line and the fields of a local reply. A zero `retryAfter` is omitted.
std::string localReplyHead(int status, Millis retryAfter);

std::string errorBody(ErrorKind kind, const std::string& message);

} // namespace ragwortwinch
