// The error type of all functions that return a `Result`; see result.h.
//
//     return makeError(ErrorKind::BadRules, "line 4: unknown field `wieght`; did you mean `weight`?");
#pragma once

#include "ragwortwinch/base/name_table.h"

#include <string>

namespace ragwortwinch {

// What went wrong. Errors of one kind share a remedy.
enum class ErrorKind {
    BadSettings,
    BadRules,
    BadRequest,
    TooLarge,
    NoRoute,
    Unauthorized,
    OverLimit,
    NoCapacity,
    NotReady,
    Stale,
    Conflict,
    StoreUnavailable,
    EndpointFailed,
    OutcomeUnknown,
    // A part of the prompt crashes endpoints.
    Quarantined,
    // The first request with the same idempotency key has not ended.
    StillRunning,
    Draining,
    Internal,
};

inline constexpr NameTable<ErrorKind, 18> errorKindNames{{{
    {ErrorKind::BadSettings, "bad_settings"},
    {ErrorKind::BadRules, "bad_rules"},
    {ErrorKind::BadRequest, "bad_request"},
    {ErrorKind::TooLarge, "too_large"},
    {ErrorKind::NoRoute, "no_route"},
    {ErrorKind::Unauthorized, "unauthorized"},
    {ErrorKind::OverLimit, "over_limit"},
    {ErrorKind::NoCapacity, "no_capacity"},
    {ErrorKind::NotReady, "not_ready"},
    {ErrorKind::Stale, "stale_configuration"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::StoreUnavailable, "store_unavailable"},
    {ErrorKind::EndpointFailed, "endpoint_failed"},
    {ErrorKind::OutcomeUnknown, "outcome_unknown"},
    {ErrorKind::Quarantined, "quarantined"},
    {ErrorKind::StillRunning, "still_running"},
    {ErrorKind::Draining, "draining"},
    {ErrorKind::Internal, "internal"},
}}};

// An error with a message that names the problem and its remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

} // namespace ragwortwinch
