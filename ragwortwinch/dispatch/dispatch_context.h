// Services of the node that every request uses. All references must outlive every request.
#pragma once

#include "ragwortwinch/admission/retry_budget.h"
#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/rules.h"
#include "ragwortwinch/dispatch/dispatch_metrics.h"
#include "ragwortwinch/dispatch/scheduler.h"
#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/store/key_value_store.h"
#include "ragwortwinch/usage/usage_counter.h"

#include <functional>
#include <string>

namespace ragwortwinch {

struct DispatchContext {
    const Clock& clock;
    HttpClient& upstream;
    KeyValueStore& store;
    Scheduler& scheduler;
    RetryBudget& retries;
    RandomIds& ids;
    UsageCounter& usage;
    DispatchMetrics& metrics;
};

// The team of a request and the rules that apply to it, as of its arrival.
struct RequestPolicy {
    // Empty on an open route.
    std::string team;
    // The team's share in the fair queue, relative to other teams.
    std::int64_t weight = 1;
    // The team's limit of running requests over all nodes; 0 means no limit.
    std::int64_t maxConcurrent = 0;
    RouteRule route;
    Limits limits;
    // Returns whether the key is still valid and keyed requests may run. Called when a queued request is
    // dispatched.
    std::function<bool()> isKeyValid;
};

} // namespace ragwortwinch
