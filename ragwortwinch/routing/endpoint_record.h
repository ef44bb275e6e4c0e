// One endpoint as it registered itself: a value, without any state of this process.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <cstdint>
#include <string>

namespace ragwortwinch {

// What an engine does with a request's two parts: reading the prompt and making tokens.
enum class EngineRole {
    // A plain service, which has no roles.
    None,
    Prefill,
    Decode,
};

inline constexpr NameTable<EngineRole, 3> engineRoleNames{{{
    {EngineRole::None, "none"},
    {EngineRole::Prefill, "prefill"},
    {EngineRole::Decode, "decode"},
}}};

struct EndpointRecord {
    std::string id;
    // When the process started, in milliseconds since 1970: tells two starts under one id apart.
    std::int64_t incarnation = 0;
    std::string service;
    SocketAddress address;
    std::string availabilityZone;
    std::int64_t slots = 1;
    bool isDraining = false;
    EngineRole role = EngineRole::None;
    // The platform may take it away at short notice.
    bool isReclaimable = false;

    bool operator==(const EndpointRecord&) const = default;
};

} // namespace ragwortwinch
