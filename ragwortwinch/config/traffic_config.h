// The operators' configuration of a gateway: routes, services, teams with their keys, and limits for callers.
// For `Node` see rules.h.
//
//     std::optional<TrafficConfig> config = platform::decodeTrafficConfig(value);
//
// Plain data: built once, then shared read-only.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

// Whether requests of a route may be sent again.
enum class RouteKind {
    // May run more than once.
    Idempotent,
    // Runs at most once per request id.
    NonIdempotent,
    // Answers with a stream of events; may be retried only when the route's streams are resumable.
    Stream,
};

inline constexpr NameTable<RouteKind, 3> routeKindNames{{{
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::NonIdempotent, "non_idempotent"},
    {RouteKind::Stream, "stream"},
}}};

// One service of a route, with its share of the requests.
struct ServiceShare {
    std::string service;
    std::int64_t weight = 1;
};

struct TrafficRoute {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // The longest time that a caller may wait for its answer.
    Millis timeout{0};
    // Target latency of the answer; for a stream, of its first event.
    Millis targetLatency{0};
    // Target for the longest pause between two events of a stream.
    Millis targetGap{0};
    // 0 is the most urgent.
    int priority = 0;
    // The number of endpoints on which one request may run, all attempts together.
    int maxEndpoints = 1;
    // Requests need no key.
    bool isOpen = false;
    // Requests list the parts of their prompt. Those that share parts go to the same endpoint, which caches
    // them.
    bool hasPromptCache = false;
    // A broken stream may continue on another endpoint after the last event that was received.
    bool isResumable = false;
    std::vector<ServiceShare> services;

    // Whether a request may be sent again after it may have run.
    bool mayRetry() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

// The number of endpoints that may be ordered for a service, and their price.
struct ScalingRule {
    std::int64_t minimumPerZone = 0;
    std::int64_t maximumPerZone = 0;
    Millis bootTime{0};
    // Price of a reclaimable endpoint as a fraction of the regular price; 0 when there are none.
    double spotPriceRatio = 0;
    // Price of one endpoint per second, by availability zone.
    std::map<std::string, double> zonePrices;
};

// Properties of the engines of a model service.
struct EngineRule {
    std::int64_t slots = 1;
    // Capacity of the KV cache in tokens, and its bytes per token.
    std::int64_t cacheTokens = 0;
    std::int64_t bytesPerToken = 0;
    // How long an engine takes to change its role, such as from prefill to decode.
    Millis roleChangeTime{0};
    // How long an engine keeps a prefilled prompt, named by its handle, for another engine to fetch.
    Millis handleTtl{0};
};

struct ServiceRule {
    std::string name;
    // The connections that an endpoint accepts from all VMs together; 0 means no limit.
    std::int64_t connectionLimit = 0;
    std::optional<EngineRule> engine;
    std::optional<ScalingRule> scaling;
};

// Limits on the size of a caller's requests and on the time that it may take to send them.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout{3000};
    Millis idleTimeout{15000};
};

// What a team's limit counts.
enum class LimitUnit {
    Requests,
    // Prompt tokens and maximum output tokens.
    Tokens,
};

inline constexpr NameTable<LimitUnit, 2> limitUnitNames{{{
    {LimitUnit::Requests, "requests"},
    {LimitUnit::Tokens, "tokens"},
}}};

// What a team may use over all VMs together.
struct TeamLimit {
    double perSecond = 0;
    double burst = 0;
    LimitUnit unit = LimitUnit::Requests;
    // Cost of a request that names no numbers of tokens.
    double plainCost = 0;

    bool operator==(const TeamLimit&) const = default;
};

struct TrafficTeam {
    std::string name;
    // In plain text; `TrafficTable` keeps only their hashes.
    std::vector<std::string> keys;
    // Overrides the route's priority.
    std::optional<int> priority;
    std::optional<TeamLimit> limit{};
};

struct TrafficConfig {
    // Increases with each change, not always by one; 0 means that no configuration is known.
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;
    std::vector<TrafficTeam> teams;
};

} // namespace ragwortwinch
