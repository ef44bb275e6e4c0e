// How a request ended, from the caller's side.
#pragma once

#include "ragwortwinch/base/name_table.h"

namespace ragwortwinch {

enum class RequestOutcome {
    // The endpoint's answer was delivered whole.
    Answered,
    // The endpoint answered with an error, which was delivered.
    EndpointError,
    // Not run: no configuration, no endpoint, or no room.
    Refused,
    // Not allowed: no route, no key, or not understood.
    Rejected,
    // Sent, and no whole answer came.
    Failed,
    // The route's or the caller's time limit passed.
    TimedOut,
    // The caller went away.
    CallerGone,
    // A stream broke off and could not be resumed.
    BrokenOff,
};

inline constexpr NameTable<RequestOutcome, 8> requestOutcomeNames{{{
    {RequestOutcome::Answered, "answered"},
    {RequestOutcome::EndpointError, "endpoint_error"},
    {RequestOutcome::Refused, "refused"},
    {RequestOutcome::Rejected, "rejected"},
    {RequestOutcome::Failed, "failed"},
    {RequestOutcome::TimedOut, "timed_out"},
    {RequestOutcome::CallerGone, "caller_gone"},
    {RequestOutcome::BrokenOff, "broken_off"},
}}};

} // namespace ragwortwinch
