// An endpoint's registration, as read from the store.
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"

#include <cstdint>
#include <string>

namespace ragwortwinch {

// The phase of inference that an engine serves: prefill of prompts or decoding of output tokens.
enum class EngineRole {
    // The endpoint is not an engine.
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
    // Start time of the process in Unix milliseconds; distinguishes restarts under one id.
    std::int64_t incarnation = 0;
    std::string service;
    SocketAddress address;
    std::string availabilityZone;
    // Number of requests that the endpoint runs concurrently.
    std::int64_t slots = 1;
    bool isDraining = false;
    EngineRole role = EngineRole::None;
    // Whether the platform may reclaim the endpoint at short notice.
    bool isReclaimable = false;

    bool operator==(const EndpointRecord&) const = default;
};

} // namespace ragwortwinch
