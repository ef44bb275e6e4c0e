// The interface through which the administration API controls a node. Implemented by the node; tests can fake
// it.
#pragma once

#include "ragwortwinch/admin/metrics_page.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/fleet/endpoint_order.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ragwortwinch {

// Result of a configuration change. `NotAccepted`: nothing is changed. `Unknown`: the store gave no answer,
// so the change may be in force.
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

// Result of submitting an operator's order.
struct OrderOutcome {
    enum class Kind {
        // Queued in the order journal of the endpoint's zone.
        Accepted,
        // The endpoint has an unfinished order.
        Busy,
        // Another node holds the duty of the endpoint's zone; `holder` names it if known.
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
    // Passes the version and the text of the configuration in force.
    virtual void currentConfig(std::function<void(std::uint64_t version, const std::string& text)> onDone)
        = 0;
    virtual void applyConfig(std::string text, std::uint64_t expectedVersion, std::string changeId,
        std::function<void(ApplyOutcome)> onDone)
        = 0;
    virtual void order(EndpointOrder order, std::function<void(OrderOutcome)> onDone) = 0;
    // Starts a graceful shutdown of this node.
    virtual void drain() = 0;
};

} // namespace ragwortwinch
