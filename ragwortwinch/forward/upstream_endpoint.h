// An endpoint as the forwarding path sees it: its registration, and what this VM has learnt by using it.
//
// Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/forward/engine_load.h"
#include "ragwortwinch/forward/outcome_tracker.h"
#include "ragwortwinch/forward/prompt_cache_model.h"
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
    // False once it is no longer registered; kept while requests run on it.
    bool isRegistered = true;
    // Another endpoint has answered at its address.
    bool isMisdirected = false;
    std::int64_t running = 0;
    // Requests of the other VMs that run on it, as they last said.
    std::int64_t runningOnPeers = 0;
    // Of engines: prompts to be read, and what the cache is believed to hold.
    EngineLoad prompts;
    PromptCacheModel cache;
    OutcomeTracker outcomes;
    // Kept connections, the latest used last.
    std::vector<std::shared_ptr<EndpointChannel>> idleChannels;
    std::int64_t openChannels = 0;

    bool isUsable() const { return isRegistered && !isMisdirected && !record.isDraining; }
    std::int64_t load() const { return running + runningOnPeers; }
};

using UpstreamPointer = std::shared_ptr<UpstreamEndpoint>;

} // namespace ragwortwinch
