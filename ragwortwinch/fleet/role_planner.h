// Decides which engines of a service read prompts and which make tokens.
//
//     RolePlanner planner;
//     for (const RoleOrder& order : planner.tick(now, records)) send(order);
//     planner.onResult(now, order, SendOutcome::Applied);
//
// It answers prompts that are long against the answers: most engines read, and in each availability zone
// enough make tokens, since memory moves slowly between zones. Engines that may be reclaimed read; the others
// make tokens, so that a reclaim breaks off no answer. At most half of a zone's engines change at a
// time. Holds no clock and no socket; not thread-safe.
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
    // One engine in so many makes tokens, at least one in each zone.
    static constexpr std::size_t enginesPerDecoder = 2;
    // An engine that was ordered to change is left alone for so long: the change and its registration.
    static constexpr Millis changePause{5000};
    // After an order whose outcome is unknown, which may still be carried out.
    static constexpr Millis unknownPause{13000};

    std::vector<RoleOrder> tick(Instant now, const std::vector<EndpointRecord>& records);
    void onResult(Instant now, const RoleOrder& order, SendOutcome outcome);
    void reset() { pausedUntil_.clear(); }

private:
    void planZone(Instant now, std::vector<EndpointRecord> engines, std::vector<RoleOrder>& orders);
    bool isPaused(Instant now, const EndpointRecord& engine) const;

    // By id and start.
    std::map<std::pair<std::string, std::int64_t>, Instant> pausedUntil_;
};

} // namespace ragwortwinch
