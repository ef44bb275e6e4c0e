// Whether a request ran: the one place where "not run" is decided.
//
//     RunTracker tracker;
//     tracker.onAttempt(result, RunTracker::isDefinitiveRefusal(result));
//     tracker.state();
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/net/http_client.h"

namespace ragwortwinch {

enum class RunState {
    // No byte went to any endpoint, or each one that got bytes refused definitively.
    NotRun,
    // Bytes may have reached an endpoint that gave no whole answer.
    OutcomeUnknown,
    // An endpoint gave a whole answer, or part of one.
    Ran,
};

inline constexpr NameTable<RunState, 3> runStateNames{{{
    {RunState::NotRun, "not_run"},
    {RunState::OutcomeUnknown, "outcome_unknown"},
    {RunState::Ran, "ran"},
}}};

// Not thread-safe.
class RunTracker {
public:
    // True when the endpoint's answer says that it did nothing.
    static bool isDefinitiveRefusal(const HttpCallResult& result);

    // Takes the end of one attempt. `hasOutput` says that part of an answer came.
    void onAttempt(const HttpCallResult& result, bool hasOutput);
    RunState state() const { return state_; }

private:
    RunState state_ = RunState::NotRun;
};

} // namespace ragwortwinch
