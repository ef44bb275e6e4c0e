// The rules that operators write for `Node`: teams, routes, endpoints and limits. See rules_parser.h for the
// text format, traffic_config.h for the configuration of a gateway.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

// The kind of server behind an endpoint: an engine runs a language model, a plain service is any other
// server.
enum class EndpointKind { Engine, PlainService };

inline constexpr NameTable<EndpointKind, 2> endpointKindNames{{{
    {EndpointKind::Engine, "engine"},
    {EndpointKind::PlainService, "plain"},
}}};

// Who may call a route: everyone, or only callers with a key of a team ("keyed requests").
enum class RouteAccess { Open, Keyed };

inline constexpr NameTable<RouteAccess, 2> routeAccessNames{{{
    {RouteAccess::Open, "open"},
    {RouteAccess::Keyed, "keyed"},
}}};

// What a node does with keyed requests when its configuration was not confirmed to be the newest within
// `Limits::freshnessBound`.
enum class StalePolicy {
    // Serves only while this node and every other VM report that the store is down; otherwise refuses.
    AgreeThenServe,
    // Refuses, whatever other VMs report.
    Refuse,
    // Serves. A revoked key may keep working during an outage of the store.
    Serve,
};

inline constexpr NameTable<StalePolicy, 3> stalePolicyNames{{{
    {StalePolicy::AgreeThenServe, "agree_then_serve"},
    {StalePolicy::Refuse, "refuse"},
    {StalePolicy::Serve, "serve"},
}}};

struct TeamRule {
    std::string name;
    // SHA-256 of each key, as 64 hexadecimal digits.
    std::vector<std::string> keyHashes;
    // Relative share of the capacity while requests are queued.
    std::int64_t weight = 1;
    // Requests that run concurrently on all VMs together.
    std::int64_t maxConcurrent = 64;
};

struct RouteRule {
    // A path, or a prefix that ends in '/'.
    std::string path;
    std::string service;
    RouteAccess access = RouteAccess::Keyed;
    bool isIdempotent = true;
    Millis deadline{30000};
};

struct EndpointRule {
    std::string name;
    std::string service;
    EndpointKind kind = EndpointKind::Engine;
    SocketAddress address;
    std::string availabilityZone;
    std::string region;
    // Whether the endpoint rejects orders whose fencing token is outdated.
    bool checksFencing = false;
    // Cost per hour; all endpoints in the same currency.
    double price = 1;
    // Whether the platform may reclaim it, at the same time as all others of its kind in the zone.
    bool isReclaimable = false;
    // How many requests a plain service runs concurrently.
    std::int64_t slots = 32;
};

struct Limits {
    // Requests of one team that may wait for one service on one VM.
    std::int64_t queuePerTeam = 200;
    // Retries as a percentage of first tries.
    std::int64_t retryPercent = 10;
    // A configuration is stale when its last confirmation as the newest is older than this.
    Millis freshnessBound{5000};
    // An endpoint whose last reported state is older than this gets no new requests.
    Millis endpointStateBound{3000};
    // How long callers may cache the answer that lists the entry addresses.
    Millis entryAnswerValidity{5000};
    // How long an idempotency claim and its outcome are kept; 24 hours.
    Millis claimRetention{86400000};
    // A streamed answer that is idle for longer is resumed on another endpoint.
    Millis streamIdleBound{5000};
    // KV blocks of an engine, and tokens in a block; "pieces" in the rules.
    std::int64_t kvBlocksPerEngine = 2000;
    std::int64_t tokensPerKvBlock = 16;
    StalePolicy stalePolicy = StalePolicy::AgreeThenServe;
};

struct Rules {
    std::vector<TeamRule> teams;
    std::vector<RouteRule> routes;
    std::vector<EndpointRule> endpoints;
    Limits limits;
};

} // namespace ragwortwinch
