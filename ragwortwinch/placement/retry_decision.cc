#include "ragwortwinch/placement/retry_decision.h"

namespace ragwortwinch {

bool mayRetry(const RetryState& state)
{
    if (state.isPastDeadline || state.attempts >= state.maxAttempts
        || state.attemptsNotRun >= state.maxAttemptsNotRun)
        return false;
    if (state.lostConnections >= maxLostConnections)
        return false;
    if (state.mayHaveRun && (!state.isRepeatable || state.possibleRuns >= state.maxEndpoints))
        return false;
    return !state.isStreamStarted || state.hasEventId;
}

bool mayReplaceSilent(RetryState state)
{
    state.mayHaveRun = true;
    ++state.possibleRuns;
    ++state.lostConnections;
    return mayRetry(state);
}

} // namespace ragwortwinch
