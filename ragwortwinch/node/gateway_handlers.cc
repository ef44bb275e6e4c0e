#include "ragwortwinch/node/gateway_handlers.h"

#include "platform/address_response.h"
#include "platform/config_inspection.h"
#include "ragwortwinch/membership/entry_vm_choice.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace ragwortwinch {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

HttpResponse makeErrorResponse(int status, const char* message)
{
    return jsonResponse(status, Json({{"error", {{"message", message}}}}).dump());
}

} // namespace

void ReadinessHandler::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path != platform::readinessPath)
        responder->send(makeErrorResponse(statusNotFound, "this port answers the readiness check only"));
    else if (isReady_.load())
        responder->send(jsonResponse(statusOk, R"({"ready":true})"));
    else
        responder->send(makeErrorResponse(statusUnavailable, "this VM takes no requests now"));
}

void AddressHandler::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path != platform::addressPath) {
        responder->send(
            makeErrorResponse(statusNotFound, "this port answers the question for addresses only"));
        return;
    }
    platform::AddressQuery addressQuery = platform::decodeAddressQuery(request.query);
    std::vector<VmInfo> usable = directory_.read()->usable;
    std::vector<VmInfo> chosen
        = chooseEntryVms(std::move(usable), addressQuery.availabilityZone, addressQuery.region);
    if (chosen.empty())
        responder->send(
            makeErrorResponse(statusUnavailable, "no VM is known to take requests; ask another one"));
    else
        responder->send(
            platform::addressResponse(repeatByCapacity(chosen, platform::maxAddresses), validity_));
}

HttpResponse GatewayAdminHandler::trafficResponse() const
{
    AdoptedConfig config = *config_.read();
    if (config.version == 0)
        return makeErrorResponse(statusUnavailable, "this VM has no configuration yet");
    return jsonResponse(
        statusOk, Json({{"version", config.version}, {"text", platform::withoutKeys(*config.text)}}).dump());
}

void GatewayAdminHandler::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == "/metrics") {
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, registry_.Collect());
        HttpResponse response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = text.str();
        responder->send(std::move(response));
        return;
    }
    auto respond = [responder](const Json& state) { responder->send(jsonResponse(statusOk, state.dump(1))); };
    if (request.path == "/dump")
        dump_(respond);
    else if (request.path == "/admin/v1/status")
        status_(respond);
    else if (request.path == "/admin/v1/traffic")
        responder->send(trafficResponse());
    else
        responder->send(makeErrorResponse(statusNotFound,
            "in gateway mode this port has /metrics, /dump, /admin/v1/status and /admin/v1/traffic; the "
            "configuration stands in the platform's store"));
}

} // namespace ragwortwinch
