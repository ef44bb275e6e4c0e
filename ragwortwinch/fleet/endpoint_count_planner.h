// Decides how many endpoints of each kind a service should have in each availability zone.
//
//     EndpointCountPlanner planner;
//     for (const EndpointCountOrder& order : planner.tick(now, services, records)) send(order);
//     planner.onResult(now, order, SendOutcome::Applied);
//
// It answers demand that swings within seconds, faster than endpoints start: capacity has to stand ready, so
// it is held on reclaimable endpoints where these cost a fraction, and on as few regular ones as the
// operators allow. The regular ones are given back only once their replacements serve. Holds no clock and no
// socket; not thread-safe.
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

// So many endpoints of one kind of a service in one zone.
struct EndpointCountOrder {
    std::string service;
    std::string availabilityZone;
    std::int64_t count = 0;
    bool isReclaimable = false;
};

class EndpointCountPlanner {
public:
    // Reclaimable endpoints are ordered only if they cost at most this part of a regular one.
    static constexpr double highestSpotPrice = 0.5;
    // After an order that was refused, or whose outcome is unknown.
    static constexpr Millis retryPause{2000};
    // Endpoints that are still missing so long after they were ordered are ordered again.
    static constexpr Millis repairPause{6000};

    std::vector<EndpointCountOrder> tick(
        Instant now, const std::vector<ServiceRule>& services, const std::vector<EndpointRecord>& records);
    void onResult(Instant now, const EndpointCountOrder& order, SendOutcome outcome);
    // Forgets what was ordered, since another VM may have ordered since.
    void reset() { subjects_.clear(); }

private:
    using Key = std::tuple<std::string, std::string, bool>;
    struct Subject {
        // The last count that was acknowledged.
        std::optional<std::int64_t> ordered;
        // Until then the same count isn't ordered again, and after a failure none.
        Instant nextTry;
        bool hasFailed = false;
        bool isUnderWay = false;
    };
    // The endpoints of one service in one zone.
    struct ZoneState {
        std::int64_t regular = 0;
        std::int64_t reclaimable = 0;
    };

    void consider(Instant now, const EndpointCountOrder& wanted, std::int64_t present,
        std::vector<EndpointCountOrder>& orders);

    // Whether reclaimable endpoints were ordered there, and the order has been answered.
    bool wasOrdered(const std::string& service, const std::string& zone) const;

    std::map<Key, Subject> subjects_;
};

} // namespace ragwortwinch
