// An endpoint on the forwarding path: its registration, and this VM's load, connections and statistics.
//
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/placement/endpoint_limit.h"
#include "ragwortwinch/placement/endpoint_notices.h"
#include "ragwortwinch/placement/engine_load.h"
#include "ragwortwinch/placement/outcome_tracker.h"
#include "ragwortwinch/placement/prompt_cache_model.h"
#include "ragwortwinch/placement/token_time.h"
#include "ragwortwinch/routing/endpoint_record.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ragwortwinch {

class EndpointChannel;

struct UpstreamEndpoint {
    EndpointRecord record;
    std::string region;
    boost::asio::ip::tcp::endpoint socketAddress;
    // False once it is no longer registered; the object lives on while requests use it.
    bool isRegistered = true;
    // Another endpoint has replied at its address.
    bool isMisdirected = false;
    // Running requests of this VM.
    std::int64_t running = 0;
    // Running requests of other VMs, as last reported.
    std::int64_t runningOnPeers = 0;
    // `engineLoad`, `tokenTime` and `promptCache` are for engines only.
    EngineLoad engineLoad;
    TokenTime tokenTime;
    PromptCacheModel promptCache;
    OutcomeTracker outcomes;
    EndpointLimit limit;
    EndpointNotices notices;
    // Most recently used last.
    std::vector<std::shared_ptr<EndpointChannel>> idleChannels;
    std::int64_t openChannels = 0;

    bool isUsable() const { return isRegistered && !isMisdirected && !record.isDraining; }
    std::int64_t load() const { return running + runningOnPeers; }
};

using UpstreamPointer = std::shared_ptr<UpstreamEndpoint>;

} // namespace ragwortwinch
