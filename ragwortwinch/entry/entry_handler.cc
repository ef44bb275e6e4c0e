#include "ragwortwinch/entry/entry_handler.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/dispatch/chat_exchange.h"
#include "ragwortwinch/dispatch/error_response.h"
#include "ragwortwinch/dispatch/plain_exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace ragwortwinch {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view entryPath = "/v1/entry";

std::string extractApiKey(const HttpRequest& request)
{
    std::string_view authorization = request.headers.get("Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.size() > scheme.size()
        && equalsIgnoringCase(authorization.substr(0, scheme.size()), scheme))
        return std::string(authorization.substr(scheme.size()));
    return std::string(request.headers.get("X-Api-Key"));
}

} // namespace

EntryHandler::EntryHandler(EntryLocation location, const DispatchContext& context,
    const Snapshot<ActiveConfig>& config, const Snapshot<VmDirectory>& directory,
    const KeyedRequestGate& gate)
    : location_(std::move(location))
    , context_(context)
    , config_(config)
    , directory_(directory)
    , gate_(gate)
{
}

void EntryHandler::refuse(const std::shared_ptr<HttpResponder>& responder, const Error& error)
{
    context_.metrics.refusedNotRun.fetch_add(1);
    bool sendsRetryAfter = error.kind == ErrorKind::Stale || error.kind == ErrorKind::NotReady;
    responder->send(errorResponse(error, RunState::NotRun, sendsRetryAfter ? 1 : 0));
}

void EntryHandler::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == entryPath) {
        responder->send(entryAddresses(request));
        return;
    }
    if (isRefusingNewRequests_.load()) {
        refuse(responder,
            {ErrorKind::Draining,
                "this node is being stopped; ask GET /v1/entry of another node for an address"});
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(policy, authorize(request));
            if (request.path == modelsPath)
                responder->send(modelList());
            else if (request.path == chatPath)
                startChat(request, std::move(policy), responder);
            else
                std::make_shared<PlainExchange>(context_, std::move(policy), std::move(request), responder)
                    ->start();
            return {};
        },
        [&](const Error& error) { refuse(responder, error); },
        [&] {
            refuse(responder, {ErrorKind::Internal, "an error of unknown type; please report it"});
        });
}

Result<RequestPolicy> EntryHandler::authorize(const HttpRequest& request)
{
    Snapshot<ActiveConfig>::Reader config = config_.read();
    if (config->version == 0)
        return makeError(
            ErrorKind::NotReady, "this node has no configuration yet; use another address or wait a moment");
    const RouteRule* route
        = config->findRoute(request.path == modelsPath ? chatPath : std::string_view(request.path));
    if (!route)
        return makeError(ErrorKind::NoRoute,
            fmt::format("no route leads to `{}`; check the path, or ask your operators for a route rule",
                request.path.substr(0, 200)));
    RequestPolicy policy;
    policy.route = *route;
    policy.limits = config->rules->limits;
    policy.isKeyValid = [] { return true; };
    if (route->access == RouteAccess::Open)
        return policy;
    std::string key = extractApiKey(request);
    if (key.empty())
        return makeError(ErrorKind::Unauthorized,
            "no key came with the request; send it as `Authorization: Bearer <key>`");
    if (!gate_.isOpen(context_.clock.now()))
        return makeError(ErrorKind::Stale,
            "this node can't prove that its list of keys is the newest; ask GET /v1/entry for another "
            "address");
    std::string hash = sha256Hex(key);
    const TeamRule* team = config->keys.findHash(hash);
    if (!team)
        return makeError(ErrorKind::Unauthorized,
            "the key is not known or was withdrawn; ask your operators for a new one");
    policy.team = team->name;
    policy.weight = team->weight;
    policy.maxConcurrent = team->maxConcurrent;
    policy.isKeyValid = [this, hash, name = team->name] {
        Snapshot<ActiveConfig>::Reader now = config_.read();
        const TeamRule* found = now->keys.findHash(hash);
        return gate_.isOpen(context_.clock.now()) && found && found->name == name;
    };
    return policy;
}

HttpResponse EntryHandler::entryAddresses(const HttpRequest& request) const
{
    std::string zone = queryValue(request.query, "zone");
    std::string region = queryValue(request.query, "region");
    if (zone.empty()) {
        zone = location_.availabilityZone;
        if (region.empty())
            region = location_.region;
    }
    std::vector<VmInfo> vms = directory_.read()->usable;
    if (region.empty()) {
        auto inZone = std::find_if(
            vms.begin(), vms.end(), [&](const VmInfo& vm) { return vm.availabilityZone == zone; });
        region = inZone == vms.end() ? std::string() : inZone->region;
    }
    sortByLocality(vms, zone, region);
    Json addresses = Json::array();
    for (const VmInfo& vm : vms)
        addresses.push_back({{"address", vm.entryAddress.text()}, {"node", vm.name},
            {"availability_zone", vm.availabilityZone}, {"region", vm.region}});
    std::int64_t validityMillis = config_.read()->rules->limits.entryAnswerValidity.count();
    return jsonResponse(
        vms.empty() ? 503 : 200, Json({{"addresses", addresses}, {"keep_ms", validityMillis}}).dump());
}

HttpResponse EntryHandler::modelList() const
{
    std::set<std::string> models;
    {
        Snapshot<ActiveConfig>::Reader config = config_.read();
        for (const EndpointRule& endpoint : config->rules->endpoints) {
            if (endpoint.kind == EndpointKind::Engine)
                models.insert(endpoint.service);
        }
    }
    Json list = Json::array();
    for (const std::string& model : models)
        list.push_back({{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", "ragwortwinch"}});
    return jsonResponse(200, Json({{"object", "list"}, {"data", list}}).dump());
}

void EntryHandler::startChat(
    const HttpRequest& request, RequestPolicy policy, const std::shared_ptr<HttpResponder>& responder)
{
    if (request.method != "POST") {
        refuse(responder, {ErrorKind::BadRequest, "chat completions are asked for with POST"});
        return;
    }
    std::optional<ChatRequest> chat = handleErrors(
        [&]() -> Result<std::optional<ChatRequest>> {
            BOOST_LEAF_AUTO(parsed, parseChatRequest(request.body));
            return std::optional<ChatRequest>(std::move(parsed));
        },
        [&](const Error& error) {
            refuse(responder, error);
            return std::optional<ChatRequest>();
        });
    if (!chat)
        return;
    if (!config_.read()->hasModel(chat->model)) {
        refuse(responder,
            {ErrorKind::NoRoute,
                fmt::format("model `{}` is not served here; GET /v1/models lists the names",
                    chat->model.substr(0, 100))});
        return;
    }
    std::make_shared<ChatExchange>(context_, std::move(policy), std::move(*chat), responder)->start();
}

} // namespace ragwortwinch
