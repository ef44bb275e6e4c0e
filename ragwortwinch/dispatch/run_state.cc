#include "ragwortwinch/dispatch/run_state.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace {

constexpr int statusServiceUnavailable = 503;

} // namespace

bool RunTracker::isDefinitiveRefusal(const HttpCallResult& result)
{
    // Requires a complete response with this header: a proxy or a failing endpoint may send 503 after running
    // the request.
    return result.end == CallEnd::Complete && result.status == statusServiceUnavailable
        && result.headers.get("X-Not-Run") == "1";
}

void RunTracker::onAttempt(const HttpCallResult& result, bool hasOutput)
{
    if (hasOutput || (result.end == CallEnd::Complete && !isDefinitiveRefusal(result))) {
        state_ = RunState::Ran;
        return;
    }
    bool hasNotRun
        = !result.mayHaveBeenSent || isDefinitiveRefusal(result) || !isEnabled(Mechanism::RunTracking);
    if (!hasNotRun && state_ == RunState::NotRun)
        state_ = RunState::OutcomeUnknown;
}

} // namespace ragwortwinch
