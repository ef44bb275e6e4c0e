// Settings of the forwarding path.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/repeat_budget.h"

#include <string>

namespace ragwortwinch {

struct ForwardOptions {
    std::string availabilityZone;
    std::string region;
    // This VM's share of what all VMs together may send once more.
    RepeatBudgetOptions retryBudget;
    // A new connection takes one round trip, 25 ms between regions; three of them, and then another endpoint.
    Millis connectTimeout{300};
    // A request that may be repeated is sent elsewhere when nothing has come for this many times the route's
    // target latency.
    int silentTargets = 3;
    // The same inside a stream that can be resumed, in times of the route's longest pause on time.
    int silentGaps = 5;
    // An answer that the endpoint gives at its own time limit is waited for this long.
    Millis answerMargin{60};
    // Prompts of at least this many tokens are read by engines for prefill where there are any.
    std::int64_t minPrefillTokens = 1000;
    // A shared part of at least this many tokens makes a request return to the engine that has read it.
    std::int64_t minAffinityTokens = 400;
    // A prompt that can't be on time is still read if its first token is expected within this part of the
    // caller's time; the rest covers the error of the estimate and the answer.
    double lateTimePart = 0.6;
    // How often a request may be sent in all, counting those that were not run.
    int maxSends = 3;
    // How many engines a prompt is offered to while each refuses it; then an engine for decode reads it.
    int maxPrefills = 2;
    // When a caller that was refused for want of room may come back.
    Millis retryAfter{250};
    // A request that can't be repeated uses a kept connection only in this part of its life.
    double maxIdlePartOnce = 0.3;
    // Bodies and answers held in memory at once.
    std::size_t maxHeldBytes = 64 * 1024 * 1024;
    // While this VM stops: how long requests are still taken that surely end before the stop.
    Millis drainGrace{2500};
    // Connections of callers.
    std::size_t maxSessions = 2400;
};

} // namespace ragwortwinch
