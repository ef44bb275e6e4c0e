// Assigns the roles of prefill and decode to the engines of a service.
//
//     RolePlanner planner;
//     for (const RoleOrder& order : planner.tick(now, records)) send(order);
//     planner.onResult(now, order, SendOutcome::Applied);
//
// Designed for prompts that are long compared with the answers, so only a fixed share of engines decodes.
// Each availability zone has its own decoders, since KV transfers between zones are slow. Reclaimable engines
// prefill and the others decode where possible, so that a reclaim interrupts no answer. At most half of a
// zone's engines, but at least one, may change role at a time. Reads no clock and opens no socket; not
// thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/routing/endpoint_record.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

struct RoleOrder {
    EndpointRecord engine;
    EngineRole role = EngineRole::Decode;
};

class RolePlanner {
public:
    // One engine in this many decodes, rounded up in each zone.
    static constexpr std::size_t enginesPerDecoder = 2;
    // Minimum time between two orders to an engine: covers the role change and its registration.
    static constexpr Millis roleChangeCooldown{5000};
    // The same after an order with an unknown outcome, which may still be executed.
    static constexpr Millis unknownOutcomeCooldown{13000};

    std::vector<RoleOrder> tick(Instant now, const std::vector<EndpointRecord>& records);
    void onResult(Instant now, const RoleOrder& order, SendOutcome outcome);
    // As for EndpointCountPlanner::reset().
    void reset() { cooldownEnds_.clear(); }

private:
    void planZone(Instant now, std::vector<EndpointRecord> engines, std::vector<RoleOrder>& orders);
    bool isInCooldown(Instant now, const EndpointRecord& engine) const;

    // By id and incarnation.
    std::map<std::pair<std::string, std::int64_t>, Instant> cooldownEnds_;
};

} // namespace ragwortwinch
