// How a request ended, from the caller's point of view.
#pragma once

#include "ragwortwinch/base/name_table.h"

namespace ragwortwinch {

enum class RequestOutcome {
    // The endpoint's whole reply was delivered.
    Answered,
    // The endpoint's 5xx reply was delivered.
    EndpointError,
    // Not run: no configuration, no endpoint, no capacity, over the team's limit, or the VM is stopping.
    Refused,
    // Invalid: no route, no valid key, malformed, too large, or too slow to arrive. Also if there is no
    // memory for its body.
    Rejected,
    // Sent, but no complete reply arrived.
    Failed,
    // The route's or the caller's time limit passed.
    TimedOut,
    // The caller disconnected.
    CallerGone,
    // A stream was interrupted and could not be resumed.
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
