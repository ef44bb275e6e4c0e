// What the check of a gateway's configuration has found, as plain data.
//
//     ConfigFinding finding{ FindingSeverity::Warning, FindingCode::HiddenRoute, "/routes/2", 14, "...",
//     "..." }; findingCodeNames.name(finding.code);   // "hidden_route"
//
// Messages and remedies hold no API keys, since they are logged.
#pragma once

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/name_table.h"

#include <string>

namespace ragwortwinch {

enum class FindingSeverity {
    // VMs refuse the configuration and keep the former one.
    Error,
    // VMs accept the configuration, but part of it has no effect or contradicts another part.
    Warning,
};

inline constexpr NameTable<FindingSeverity, 2> findingSeverityNames{{{
    {FindingSeverity::Error, "error"},
    {FindingSeverity::Warning, "warning"},
}}};

enum class FindingCode {
    // The text is not JSON.
    Syntax,
    MissingField,
    WrongType,
    // The value is ignored because of its type.
    IgnoredValue,
    UnknownValue,
    OutOfRange,
    // A member stands twice in one object; the last one counts.
    DuplicateMember,
    // An unknown member whose name differs little from a known one.
    MisspeltField,
    // A team's limit has a negative number or one that is no number, so the team has no limit.
    InvalidTeamLimit,
    // A configuration with version 0 is never adopted.
    VersionZero,
    // The version isn't above that of the configuration that it is compared with.
    VersionNotNewer,
    DuplicateName,
    // Another route has the same host and prefix and is found first.
    HiddenRoute,
    UnmatchedPrefix,
    NoTimeout,
    TimeoutUnderTarget,
    // The route has no service with a positive weight.
    NoService,
    // A route names a service that isn't declared, so that nothing says what kind of endpoints it has.
    ServiceWithoutKind,
    UnusedService,
    MinimumAboveMaximum,
    // Two teams hold the same key.
    SharedKey,
    BurstUnderRequest,
    LimitNeverRefills,
    LimitAboveCapacity,
};

inline constexpr NameTable<FindingCode, 24> findingCodeNames{{{
    {FindingCode::Syntax, "syntax"},
    {FindingCode::MissingField, "missing_field"},
    {FindingCode::WrongType, "wrong_type"},
    {FindingCode::IgnoredValue, "ignored_value"},
    {FindingCode::UnknownValue, "unknown_value"},
    {FindingCode::OutOfRange, "out_of_range"},
    {FindingCode::DuplicateMember, "duplicate_member"},
    {FindingCode::MisspeltField, "misspelt_field"},
    {FindingCode::InvalidTeamLimit, "invalid_team_limit"},
    {FindingCode::VersionZero, "version_zero"},
    {FindingCode::VersionNotNewer, "version_not_newer"},
    {FindingCode::DuplicateName, "duplicate_name"},
    {FindingCode::HiddenRoute, "hidden_route"},
    {FindingCode::UnmatchedPrefix, "unmatched_prefix"},
    {FindingCode::NoTimeout, "no_timeout"},
    {FindingCode::TimeoutUnderTarget, "timeout_under_target"},
    {FindingCode::NoService, "no_service"},
    {FindingCode::ServiceWithoutKind, "service_without_kind"},
    {FindingCode::UnusedService, "unused_service"},
    {FindingCode::MinimumAboveMaximum, "minimum_above_maximum"},
    {FindingCode::SharedKey, "shared_key"},
    {FindingCode::BurstUnderRequest, "burst_under_request"},
    {FindingCode::LimitNeverRefills, "limit_never_refills"},
    {FindingCode::LimitAboveCapacity, "limit_above_capacity"},
}}};

struct ConfigFinding {
    FindingSeverity severity = FindingSeverity::Error;
    FindingCode code = FindingCode::Syntax;
    // JSON pointer to the value, ending with the field; empty for the whole document.
    std::string path;
    // 1-based; 0 if unknown.
    int line = 0;
    std::string message;
    std::string remedy;
};

// Adds the finding's code, path, line, message and remedy to a log line.
void addFinding(LogEvent&, const ConfigFinding&);

} // namespace ragwortwinch
