// Serves the operators' port: health, metrics, a dump of the node's state and the administration API.
//
//     GET  /healthz /readyz /metrics /dump
//     GET  /admin/v1/status          GET /admin/v1/config
//     PUT  /admin/v1/config?expected_version=N&change=ID     (body: the rules)
//     POST /admin/v1/orders          {"endpoint", "kind", "argument"}
//     POST /admin/v1/drain
//
// Thread-safe.
#pragma once

#include "ragwortwinch/admin/node_control.h"
#include "ragwortwinch/net/http_server.h"

#include <memory>
#include <string>

namespace ragwortwinch {

class AdminHandler final : public HttpHandler {
public:
    // `control` must outlive the handler.
    AdminHandler(std::string node, NodeControl& control);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

private:
    void handleConfig(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
    void applyConfig(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
    void handleOrder(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

    MetricsPage metrics_;
    NodeControl& control_;
};

} // namespace ragwortwinch
