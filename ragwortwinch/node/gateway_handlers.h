// The small HTTP interfaces of a VM in gateway mode: readiness, addresses for callers, and the operators'
// port.
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/entry/vm_directory.h"
#include "ragwortwinch/net/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <prometheus/registry.h>

namespace ragwortwinch {

// 200 while this VM takes requests, else 503.
class ReadinessHandler final : public HttpHandler {
public:
    explicit ReadinessHandler(const std::atomic<bool>& isReady)
        : isReady_(isReady)
    {
    }
    void handle(HttpRequest, std::shared_ptr<HttpResponder>) override;

private:
    const std::atomic<bool>& isReady_;
};

// Tells callers which VMs to use.
class AddressHandler final : public HttpHandler {
public:
    AddressHandler(const Snapshot<VmDirectory>& directory, Millis validity)
        : directory_(directory)
        , validity_(validity)
    {
    }
    void handle(HttpRequest, std::shared_ptr<HttpResponder>) override;

private:
    const Snapshot<VmDirectory>& directory_;
    Millis validity_;
};

// Metrics, the status and the dump of the process's state, for `ragwortwinch status` and `ragwortwinch dump`.
class GatewayAdminHandler final : public HttpHandler {
public:
    // Hands a view of the state to its argument, on whatever thread.
    using StateProvider = std::function<void(std::function<void(Json)>)>;

    GatewayAdminHandler(prometheus::Registry& registry, StateProvider status, StateProvider dump)
        : registry_(registry)
        , status_(std::move(status))
        , dump_(std::move(dump))
    {
    }
    void handle(HttpRequest, std::shared_ptr<HttpResponder>) override;

private:
    prometheus::Registry& registry_;
    StateProvider status_;
    StateProvider dump_;
};

} // namespace ragwortwinch
