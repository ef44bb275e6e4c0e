// Determines whether a request ran. After dispatch, only this class decides that a request was not run.
//
//     RunTracker tracker;
//     tracker.onAttempt(result, hasOutput);
//     tracker.state();
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/net/http_client.h"

namespace ragwortwinch {

enum class RunState {
    // No byte was sent to any endpoint, or each endpoint that received bytes refused definitively.
    NotRun,
    // Bytes may have reached an endpoint that sent no complete response.
    OutcomeUnknown,
    // An endpoint sent part of an answer, or a complete response that is not a definitive refusal.
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
    // Returns true if the endpoint's response states that it did not run the request.
    static bool isDefinitiveRefusal(const HttpCallResult& result);

    // Records the end of one attempt. `hasOutput` is true if part of an answer was received.
    void onAttempt(const HttpCallResult& result, bool hasOutput);
    RunState state() const { return state_; }

private:
    RunState state_ = RunState::NotRun;
};

} // namespace ragwortwinch
