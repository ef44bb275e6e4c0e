// Settings of the forwarding path.
#pragma once

#include "ragwortwinch/allowance/team_allowance.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/memory_account.h"
#include "ragwortwinch/placement/windowed_retry_budget.h"

#include <string>

namespace ragwortwinch {

struct ForwardOptions {
    // This VM.
    std::string vm;
    std::string availabilityZone;
    std::string region;
    // This VM's share of the retries that all VMs together may send.
    RetryBudgetOptions retryBudget;
    // What the limits of teams allow over all VMs together.
    QuotaRule quotaRule;
    // A connect takes one round trip, 25 ms between regions; this allows for twelve before another
    // endpoint is tried.
    Millis connectTimeout{300};
    // First-byte timeout of requests that may be retried, as a multiple of the route's target latency. Twice
    // the estimated time to first token of a long prompt is added.
    int firstByteTimeoutMultiple = 3;
    // Gap timeout inside a stream that can be resumed, as a multiple of the route's target gap.
    int gapTimeoutMultiple = 5;
    // How long the endpoint of a stream that has begun may pause while it accepts connections. Sound
    // endpoints pause for a second or so, and callers leave a stream after a gap of 2 s; a replacement needs
    // the rest.
    Millis maxSoundPause{1400};
    // How long a silent attempt is kept while another endpoint, to which the request was sent, may still
    // refuse it. No resumed stream may run at two endpoints for 400 ms; the rest is for delays in this VM and
    // on its links.
    Millis maxOverlap{100};
    // How long after the deadline to wait for a reply that the endpoint sends at its own time limit.
    Millis replyGrace{60};
    // EngineChooser places prompts of at least this many tokens; it prefers prefill engines.
    std::int64_t minPrefillTokens = 1000;
    // Requests have affinity to an engine if their prompts share at least this many tokens.
    std::int64_t minAffinityTokens = 400;
    // A prompt that can't be on time is still prefilled if its first token is expected within this fraction
    // of the time left; the rest is for errors of the estimate and for the reply after its first token.
    double lateTimeFraction = 0.6;
    // Limit on attempts per request that may have run it, without prefills.
    int maxAttempts = 3;
    // Limit on attempts per request that endpoints refused or that were not sent, without prefills. While
    // half of the engines are full, 8 refusals in a row meet one request in 256. The retry budget and the
    // deadline bind before in an overload.
    int maxAttemptsNotRun = 8;
    // Limit on engines that may refuse to fetch a KV cache before the prompt is prefilled again. One may be
    // full; if two refuse, the cache is probably gone.
    int maxRefusedFetches = 2;
    // Limit on prefill engines that may refuse a prompt; then a decode engine prefills it.
    int maxRefusedPrefills = 2;
    // Retry-After of local 503 replies.
    Millis retryAfter{250};
    // Replaces ChannelPool::usableIdleFraction for requests that can't be retried, which fail if the endpoint
    // closes the idle connection at that moment.
    double maxIdleFractionNoRetry = 0.3;
    // Limits on what callers make this VM hold.
    MemoryLimits memory;
    // A body of which nothing has arrived for this long is given up, even if there is memory. Longer than
    // the time for which a VM may lose contact with its region (4 s).
    Millis bodyStallTimeout{5000};
    // A request of which nothing has arrived for this long is ended when another one finds no memory. TCP
    // sends lost segments again several times within it.
    Millis stallTime{1000};
    // While this VM stops: how long all requests are still accepted; then only those with a deadline before
    // the stop.
    Millis drainGrace{2500};
    // Limit on connections of callers.
    std::size_t maxSessions = 2400;
};

} // namespace ragwortwinch
