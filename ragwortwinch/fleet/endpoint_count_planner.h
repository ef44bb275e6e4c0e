// Decides how many endpoints of each kind a service should have in each availability zone.
//
//     EndpointCountPlanner planner;
//     for (const EndpointCountOrder& order : planner.tick(now, services, records)) send(order);
//     planner.onResult(now, order, SendOutcome::Applied);
//
// Demand changes within seconds, faster than endpoints start, so capacity is provisioned in advance. It
// consists of as few regular endpoints as the operators allow and, for the rest, of reclaimable ones,
// provided that these are much cheaper; if they are not, nothing is ordered. Regular endpoints are released
// only once their replacements are serving. Reads no clock and opens no socket; not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/traffic_config.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/routing/endpoint_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ragwortwinch {

// The desired number of endpoints of one kind for a service in one zone.
struct EndpointCountOrder {
    std::string service;
    std::string availabilityZone;
    std::int64_t count = 0;
    bool isReclaimable = false;
};

class EndpointCountPlanner {
public:
    // Reclaimable (spot) endpoints are ordered only if they cost at most this fraction of a regular one.
    static constexpr double maxSpotPriceRatio = 0.5;
    // Delay before retrying an order that was refused or whose outcome is unknown.
    static constexpr Millis retryDelay{2000};
    // Endpoints that are still missing this long after they were ordered are ordered again.
    static constexpr Millis repeatDelay{6000};

    std::vector<EndpointCountOrder> tick(
        Instant now, const std::vector<ServiceRule>& services, const std::vector<EndpointRecord>& records);
    // Call it for each order; until then no other is returned for the same kind, service and zone.
    void onResult(Instant now, const EndpointCountOrder& order, SendOutcome outcome);
    // Discards the state of earlier orders. Call it on each new lease, since another VM may have sent
    // orders in the meantime.
    void reset() { orderStates_.clear(); }

private:
    // Service, availability zone, isReclaimable.
    using Key = std::tuple<std::string, std::string, bool>;
    struct OrderState {
        // The last count that was applied.
        std::optional<std::int64_t> appliedCount;
        // Earliest time to order the same count again or, after a failure, any count.
        Instant nextAttempt;
        bool hasFailed = false;
        bool isPending = false;
    };
    // The endpoints of one service in one zone.
    struct ZoneCounts {
        std::int64_t regular = 0;
        std::int64_t reclaimable = 0;
    };

    void orderIfNeeded(Instant now, const EndpointCountOrder& wanted, std::int64_t present,
        std::vector<EndpointCountOrder>& orders);

    // Whether reclaimable endpoints were ordered in the zone, and the order has been answered.
    bool isReclaimableOrderAnswered(const std::string& service, const std::string& zone) const;

    std::map<Key, OrderState> orderStates_;
};

} // namespace ragwortwinch
