// Decides whether a request may be sent to a further endpoint, and whether an endpoint that is silent may be
// replaced by one.
//
//     RetryState state;
//     state.attempts = 1;
//     if (mayRetry(state)) ...
//
// Designed for engines of which many are full: refusals that cost a few milliseconds each don't use up the
// attempts that a failing endpoint may need.
//
// The decision depends on the state alone; the retry budget and the choice of the endpoint come on top of it.
#pragma once

namespace ragwortwinch {

// A request under which so many endpoints have ended is not offered to a further one.
inline constexpr int maxLostConnections = 2;

struct RetryState {
    // Attempts so far that may have run the request or still run it, and their limit.
    int attempts = 0;
    int maxAttempts = 1;
    // Attempts that have certainly not run the request, and their limit. An endpoint refused them, or no byte
    // was sent.
    int attemptsNotRun = 0;
    int maxAttemptsNotRun = 1;
    // An endpoint may have run the request.
    bool mayHaveRun = false;
    // Whether the route allows to run it again, and on how many endpoints altogether.
    bool isRepeatable = false;
    int maxEndpoints = 1;
    // Failed attempts that may have run the request; of these, the ones that lost the connection.
    int possibleRuns = 0;
    int lostConnections = 0;
    // The caller has received a part of the stream, and the id of an event to go on after.
    bool isStreamStarted = false;
    bool hasEventId = false;
    bool isPastDeadline = false;
};

// Whether the request may be sent again after its last attempt has ended.
bool mayRetry(const RetryState&);

// Whether the request could be sent again if its running attempt, which is silent, were given up. An endpoint
// may be silent and still be sound, so an attempt that can't be replaced must go on until the deadline.
bool mayReplaceSilent(RetryState);

} // namespace ragwortwinch
