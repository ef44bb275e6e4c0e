// HTTP handler for callers: VM addresses, chat completions, models and routes to plain services.
//
//     auto handler = std::make_shared<EntryHandler>(location, context, config, directory, gate);
//
// Thread-safe: called from every request thread; reads configuration and directory without locks.
#pragma once

#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/dispatch/dispatch_context.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/entry/active_config.h"
#include "ragwortwinch/entry/keyed_request_gate.h"
#include "ragwortwinch/entry/vm_directory.h"
#include "ragwortwinch/net/http_server.h"

#include <atomic>
#include <memory>
#include <string>

namespace ragwortwinch {

struct EntryLocation {
    std::string availabilityZone;
    std::string region;
};

class EntryHandler final : public HttpHandler {
public:
    // All references must outlive the handler.
    EntryHandler(EntryLocation location, const DispatchContext& context, const Snapshot<ActiveConfig>& config,
        const Snapshot<VmDirectory>& directory, const KeyedRequestGate& gate);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;
    // Refuses further requests (as not run), except those for VM addresses; running requests continue.
    void refuseNewRequests() { isRefusingNewRequests_.store(true); }

private:
    Result<RequestPolicy> authorize(const HttpRequest& request);
    // Lists the usable VMs by distance from the query's zone and region; without a zone, from this node's.
    HttpResponse entryAddresses(const HttpRequest& request) const;
    HttpResponse modelList() const;
    void startChat(
        const HttpRequest& request, RequestPolicy policy, const std::shared_ptr<HttpResponder>& responder);
    void refuse(const std::shared_ptr<HttpResponder>& responder, const Error& error);

    EntryLocation location_;
    DispatchContext context_;
    const Snapshot<ActiveConfig>& config_;
    const Snapshot<VmDirectory>& directory_;
    const KeyedRequestGate& gate_;
    std::atomic<bool> isRefusingNewRequests_{false};
};

} // namespace ragwortwinch
