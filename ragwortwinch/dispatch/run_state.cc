#include "ragwortwinch/dispatch/run_state.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace {

constexpr int statusServiceUnavailable = 503;

} // namespace

bool RunTracker::isDefinitiveRefusal(const HttpCallResult& result)
{
    // Only a whole answer with this header counts: a proxy or a dying endpoint may say 503 after running.
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
