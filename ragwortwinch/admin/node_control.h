// What the administration API asks of a node. Implemented by the node; a fake stands in for it in tests.
#pragma once

#include "ragwortwinch/admin/metrics_page.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/fleet/endpoint_order.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ragwortwinch {

// How a change of the configuration ended.
struct ApplyOutcome {
    enum class Kind {
        Accepted,
        Conflict,
        NotAccepted,
        Unknown,
    };
    Kind kind = Kind::NotAccepted;
    std::uint64_t versionInForce = 0;
};

// How an operator's order was taken.
struct OrderOutcome {
    enum class Kind {
        // In the journal's queue of this node.
        Accepted,
        Busy,
        // Another node holds the zone's duty; `holder` names it when known.
        WrongNode,
        NoSuchEndpoint,
    };
    Kind kind = Kind::NoSuchEndpoint;
    std::string holder;
};

// Thread-safe. Callbacks run on a thread of the node.
class NodeControl {
public:
    virtual ~NodeControl() = default;
    virtual bool isReady() = 0;
    virtual void dump(std::function<void(Json)> onDone) = 0;
    virtual void status(std::function<void(Json)> onDone) = 0;
    virtual MetricValues metrics() = 0;
    // The text in force and its version.
    virtual void currentConfig(std::function<void(std::uint64_t version, const std::string& text)> onDone)
        = 0;
    virtual void applyConfig(std::string text, std::uint64_t expectedVersion, std::string changeId,
        std::function<void(ApplyOutcome)> onDone)
        = 0;
    virtual void order(EndpointOrder order, std::function<void(OrderOutcome)> onDone) = 0;
    // Starts the graceful shutdown of this node.
    virtual void drain() = 0;
};

} // namespace ragwortwinch
