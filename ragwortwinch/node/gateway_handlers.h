// HTTP handlers of a VM in gateway mode: readiness check, address directory and operators' port.
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

// Responds with 200 while this VM accepts requests, otherwise with 503.
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

// Returns the addresses of the VMs that a caller should use.
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

// Serves metrics, and the status and state dump for `ragwortwinch status` and `ragwortwinch dump`.
class GatewayAdminHandler final : public HttpHandler {
public:
    // Calls its argument with the state, possibly later and on another thread.
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
