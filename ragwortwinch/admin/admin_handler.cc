#include "ragwortwinch/admin/admin_handler.h"

#include "ragwortwinch/config/rules_parser.h"
#include "ragwortwinch/dispatch/error_response.h"

#include <fmt/format.h>

namespace ragwortwinch {

namespace {

void sendError(const std::shared_ptr<HttpResponder>& responder, const Error& error)
{
    responder->send(errorResponse(error, RunState::NotRun));
}

void sendApplyOutcome(const std::shared_ptr<HttpResponder>& responder, const ApplyOutcome& outcome)
{
    switch (outcome.kind) {
    case ApplyOutcome::Kind::Accepted:
        responder->send(jsonResponse(200, Json({{"version", outcome.versionInForce}}).dump()));
        return;
    case ApplyOutcome::Kind::Conflict:
        sendError(responder,
            {ErrorKind::Conflict,
                fmt::format("version {} is in force, and your text was made from another; run `ragwortwinch "
                            "diff`, take over the changes and apply again",
                    outcome.versionInForce)});
        return;
    case ApplyOutcome::Kind::NotAccepted:
        sendError(responder,
            {ErrorKind::StoreUnavailable,
                "the store did not take the change, nothing is changed; apply again when `ragwortwinch "
                "status` shows the store up"});
        return;
    case ApplyOutcome::Kind::Unknown:
        responder->send(errorResponse({ErrorKind::OutcomeUnknown,
                                          "the store gave no answer, so the change may be in force; see "
                                          "`ragwortwinch status` before applying again"},
            RunState::OutcomeUnknown));
        return;
    }
}

void sendOrderOutcome(const std::shared_ptr<HttpResponder>& responder, const OrderOutcome& outcome)
{
    switch (outcome.kind) {
    case OrderOutcome::Kind::Accepted:
        responder->send(jsonResponse(202, R"({"order":"accepted"})"));
        return;
    case OrderOutcome::Kind::Busy:
        sendError(responder,
            {ErrorKind::Conflict,
                "the endpoint has an order that is not done; wait for it (see `ragwortwinch dump`) and order "
                "again"});
        return;
    case OrderOutcome::Kind::WrongNode:
        sendError(responder,
            {ErrorKind::Conflict,
                fmt::format(
                    "holder={}: this node does not give orders in the endpoint's zone; ask the holder",
                    outcome.holder)});
        return;
    case OrderOutcome::Kind::NoSuchEndpoint:
        sendError(responder,
            {ErrorKind::BadRequest, "no endpoint rule has this name; `ragwortwinch status` lists them"});
        return;
    }
}

} // namespace

AdminHandler::AdminHandler(std::string node, NodeControl& control)
    : metrics_(std::move(node))
    , control_(control)
{
}

void AdminHandler::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == "/healthz")
        responder->send(jsonResponse(200, R"({"health":"up"})"));
    else if (request.path == "/readyz") {
        bool isReady = control_.isReady();
        responder->send(
            jsonResponse(isReady ? 200 : 503, isReady ? R"({"ready":true})" : R"({"ready":false})"));
    } else if (request.path == "/metrics") {
        HttpResponse response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics_.render(control_.metrics());
        responder->send(std::move(response));
    } else if (request.path == "/dump")
        control_.dump([responder](const Json& state) { responder->send(jsonResponse(200, state.dump(2))); });
    else if (request.path == "/admin/v1/status")
        control_.status([responder](const Json& state) { responder->send(jsonResponse(200, state.dump())); });
    else if (request.path == "/admin/v1/config")
        handleConfig(request, responder);
    else if (request.path == "/admin/v1/orders" && request.method == "POST")
        handleOrder(request, responder);
    else if (request.path == "/admin/v1/drain" && request.method == "POST") {
        control_.drain();
        responder->send(jsonResponse(202, R"({"drain":"started"})"));
    } else
        sendError(
            responder, {ErrorKind::NoRoute, "no such page on the operators' port; see docs/OPERATIONS.md"});
}

void AdminHandler::handleConfig(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    if (request.method == "PUT") {
        applyConfig(request, responder);
        return;
    }
    control_.currentConfig([responder](std::uint64_t version, const std::string& text) {
        responder->send(jsonResponse(200, Json({{"version", version}, {"text", text}}).dump()));
    });
}

void AdminHandler::applyConfig(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    std::string expected = queryValue(request.query, "expected_version");
    std::string change = queryValue(request.query, "change");
    if (expected.empty() || change.empty()) {
        sendError(responder,
            {ErrorKind::BadRequest,
                "`expected_version` and `change` must be given; use `ragwortwinch apply`"});
        return;
    }
    bool isValid = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(parseRules(request.body));
            return true;
        },
        [&](const Error& error) {
            sendError(responder, error);
            return false;
        });
    if (!isValid)
        return;
    control_.applyConfig(request.body, std::strtoull(expected.c_str(), nullptr, 10), change,
        [responder](const ApplyOutcome& outcome) { sendApplyOutcome(responder, outcome); });
}

void AdminHandler::handleOrder(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    Json body = parseJsonOrDiscard(request.body);
    std::optional<OrderKind> kind = orderKindNames.parse(stringMember(body, "kind"));
    if (!kind) {
        sendError(responder, {ErrorKind::BadRequest, "`kind` must be one of: " + orderKindNames.list()});
        return;
    }
    EndpointOrder order;
    order.endpoint = stringMember(body, "endpoint");
    order.kind = *kind;
    order.argument = stringMember(body, "argument");
    control_.order(
        std::move(order), [responder](const OrderOutcome& outcome) { sendOrderOutcome(responder, outcome); });
}

} // namespace ragwortwinch
