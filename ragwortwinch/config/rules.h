// The rules that operators write: teams, routes, endpoints and limits. See rules_parser.h for the text.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

// What an endpoint runs.
enum class EndpointKind { Engine, PlainService };

inline constexpr NameTable<EndpointKind, 2> endpointKindNames{{{
    {EndpointKind::Engine, "engine"},
    {EndpointKind::PlainService, "plain"},
}}};

// Who may call a route.
enum class RouteAccess { Open, Keyed };

inline constexpr NameTable<RouteAccess, 2> routeAccessNames{{{
    {RouteAccess::Open, "open"},
    {RouteAccess::Keyed, "keyed"},
}}};

// What a node does with keyed requests when it can't prove that its configuration is the newest.
enum class StalePolicy {
    // Serves on only while every VM answers and says that the store is down; otherwise refuses.
    AgreeThenServe,
    // Refuses past the bound, whatever the others say.
    Refuse,
    // Serves on; a withdrawn key may go on working through an outage.
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
    std::int64_t weight = 1;
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
    // Whether it refuses an order with an old fencing number.
    bool checksFencing = false;
    // Cost for an hour, in any one currency.
    double price = 1;
    // Whether the platform may take it back with a whole zone of its kind.
    bool isReclaimable = false;
    // How many requests a plain service takes at once.
    std::int64_t slots = 32;
};

struct Limits {
    std::int64_t queuePerTeam = 200;
    std::int64_t retryPercent = 10;
    // A configuration that is not proved fresh for longer than this is stale.
    Millis freshnessBound{5000};
    // An endpoint whose state is older than this gets no new work.
    Millis endpointStateBound{3000};
    // How long callers may keep the answer to which address to use.
    Millis entryAnswerValidity{5000};
    Millis claimRetention{86400000};
    // The longest silence inside a streamed answer before it is resumed elsewhere.
    Millis streamIdleBound{5000};
    // Memory pieces of an engine, and tokens in a piece.
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
