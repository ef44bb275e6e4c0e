// What operators decide about traffic: hosts and routes, services, teams with their keys, bounds on callers.
//
//     TrafficConfig config = ...;              // decoded by the platform's adapter
//     config.version;
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

// What may be repeated on a route.
enum class RouteKind {
    // May run more than once.
    Idempotent,
    // Runs at most once for each request id.
    NonIdempotent,
    // Answers with events; repeatable only where the route says that streams resume.
    Stream,
};

inline constexpr NameTable<RouteKind, 3> routeKindNames{{{
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::NonIdempotent, "non_idempotent"},
    {RouteKind::Stream, "stream"},
}}};

// One of the services that share a route's requests.
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
    // The longest time that the operator wants a caller kept waiting.
    Millis timeout{0};
    // Within it an answer (of a stream, the first event) is on time.
    Millis targetLatency{0};
    // The longest pause between two events of a stream that is on time.
    Millis targetGap{0};
    // 0 is the most urgent.
    int priority = 0;
    // On how many endpoints one request may run.
    int maxEndpoints = 1;
    bool isOpen = false;
    // Requests carry the parts of their prompt, which endpoints cache.
    bool hasPromptCache = false;
    bool isResumable = false;
    std::vector<ServiceShare> services;

    // Whether a request that may have run can be sent once more.
    bool mayRetry() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

// How many endpoints of a service may be ordered, and at what price.
struct ScalingRule {
    std::int64_t minimumPerZone = 0;
    std::int64_t maximumPerZone = 0;
    Millis bootTime{0};
    // Price of an endpoint that may be reclaimed, as a part of the regular price; 0 when there are none.
    double spotPrice = 0;
    // Price of one endpoint for a second, by availability zone.
    std::map<std::string, double> zonePrices;
};

// Properties of the engines of a model service.
struct EngineRule {
    std::int64_t slots = 1;
    std::int64_t cacheTokens = 0;
    std::int64_t bytesPerToken = 0;
    // How long an engine takes to change its role.
    Millis roleChangeTime{0};
    // How long an engine keeps a prompt that another engine has not fetched.
    Millis handleTtl{0};
};

struct ServiceRule {
    std::string name;
    // Connections that an endpoint accepts from all VMs together; 0 when it isn't bounded.
    std::int64_t connectionLimit = 0;
    std::optional<EngineRule> engine;
    std::optional<ScalingRule> scaling;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout{3000};
    Millis idleTimeout{15000};
};

struct TrafficTeam {
    std::string name;
    std::vector<std::string> keys;
    // Goes before the route's priority when it is set.
    std::optional<int> priority;
};

struct TrafficConfig {
    // Grows with each change, in uneven steps; 0 means that none is known.
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::vector<ServiceRule> services;
    CallerLimits limits;
    std::vector<TrafficTeam> teams;
};

} // namespace ragwortwinch
