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

// The configuration in force as its writer wrote it.
struct AdoptedConfig {
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text = std::make_shared<const std::string>();
};

// Serves metrics, the status and state dump for `ragwortwinch status` and `ragwortwinch dump`, and the
// configuration in force, with digests in the place of API keys, for `ragwortwinch check --against in-force`.
class GatewayAdminHandler final : public HttpHandler {
public:
    // Calls its argument with the state, possibly later and on another thread.
    using StateProvider = std::function<void(std::function<void(Json)>)>;

    GatewayAdminHandler(prometheus::Registry& registry, const Snapshot<AdoptedConfig>& config,
        StateProvider status, StateProvider dump)
        : registry_(registry)
        , config_(config)
        , status_(std::move(status))
        , dump_(std::move(dump))
    {
    }
    void handle(HttpRequest, std::shared_ptr<HttpResponder>) override;

private:
    // Runs on the thread of the operators' port: hashing the keys of 12,000 teams would delay the control
    // thread.
    HttpResponse trafficResponse() const;

    prometheus::Registry& registry_;
    const Snapshot<AdoptedConfig>& config_;
    StateProvider status_;
    StateProvider dump_;
};

} // namespace ragwortwinch
