// Stand-in for the platform: key-value service, orders for endpoints, usage reports, list of VMs.
//
// Control routes: POST /control/fault, PUT /control/vms, GET /control/state.
#include "ragwortwinch/base/time.h"
#include "testing/stand_in/fault.h"
#include "testing/stand_in/program.h"

#include <fmt/format.h>
#include <map>
#include <optional>
#include <thread>

namespace ragwortwinch::stand_in {
namespace {

struct Value {
    std::string text;
    std::uint64_t revision = 0;
    // Absent when the key does not expire.
    std::optional<Instant> expiresAt;
};

class Platform final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override
    {
        if (request.path == "/control/fault") {
            fault_.set(request.body);
            responder->send(jsonResponse(200, "{}"));
            return;
        }
        bool isControl = request.path.starts_with("/control/");
        if (!isControl && fault_.is(FaultMode::Silent)) {
            fault_.holdOpen(responder);
            return;
        }
        if (!isControl && fault_.is(FaultMode::Outage)) {
            responder->send(jsonResponse(503, R"({"error":"outage"})"));
            return;
        }
        if (!isControl && fault_.delayMillis() > 0)
            std::this_thread::sleep_for(Millis(fault_.delayMillis()));
        HttpResponse response = route(request);
        bool isLost = !isControl && fault_.is(FaultMode::LostAnswer) && request.method != "GET";
        if (isLost)
            fault_.holdOpen(responder);
        else
            responder->send(std::move(response));
    }

private:
    HttpResponse route(const HttpRequest& request)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        expire();
        if (!request.path.starts_with("/control/"))
            ++(request.method == "GET" ? reads_ : writes_);
        if (request.path.starts_with("/v1/kv/"))
            return keyValue(request, request.path.substr(7));
        if (request.path.starts_with("/v1/keepalive/"))
            return keepAlive(request, request.path.substr(14));
        if (request.path == "/v1/list")
            return list(queryValue(request.query, "prefix"));
        if (request.path == "/v1/vms")
            return jsonResponse(200, vms_);
        if (request.path == "/control/vms") {
            vms_ = request.body;
            return jsonResponse(200, "{}");
        }
        if (request.path == "/v1/usage")
            return usage(request);
        if (request.path == "/v1/orders")
            return order(request);
        if (request.path == "/control/state")
            return state();
        return jsonResponse(404, R"({"error":"no such route"})");
    }

    void expire()
    {
        Instant now = clock_.now();
        std::erase_if(values_,
            [now](const auto& entry) { return entry.second.expiresAt && *entry.second.expiresAt <= now; });
    }

    static bool matches(const std::string& expect, std::uint64_t revision)
    {
        return expect == "any" || expect == std::to_string(revision);
    }

    std::optional<Instant> expiry(const HttpRequest& request) const
    {
        long ttl = std::strtol(queryValue(request.query, "ttl_ms").c_str(), nullptr, 10);
        if (ttl <= 0)
            return std::nullopt;
        return clock_.now() + Millis(ttl);
    }

    HttpResponse keyValue(const HttpRequest& request, const std::string& key)
    {
        auto found = values_.find(key);
        std::uint64_t current = found == values_.end() ? 0 : found->second.revision;
        if (request.method == "GET") {
            if (!current)
                return jsonResponse(404, R"({"revision":0})");
            return jsonResponse(200, Json({{"value", found->second.text}, {"revision", current}}).dump());
        }
        if (!matches(queryValue(request.query, "expect"), current))
            return jsonResponse(409, fmt::format(R"({{"revision":{}}})", current));
        if (request.method == "DELETE") {
            values_.erase(key);
            return jsonResponse(200, fmt::format(R"({{"revision":{}}})", ++revision_));
        }
        constexpr std::size_t maxValueBytes = 1024 * 1024;
        if (request.body.size() > maxValueBytes)
            return jsonResponse(413, R"({"error":"value over a megabyte"})");
        values_[key] = {request.body, ++revision_, expiry(request)};
        return jsonResponse(200, fmt::format(R"({{"revision":{}}})", revision_));
    }

    HttpResponse keepAlive(const HttpRequest& request, const std::string& key)
    {
        auto found = values_.find(key);
        if (found == values_.end())
            return jsonResponse(404, R"({"revision":0})");
        if (!matches(queryValue(request.query, "expect"), found->second.revision))
            return jsonResponse(409, fmt::format(R"({{"revision":{}}})", found->second.revision));
        found->second.expiresAt = expiry(request);
        return jsonResponse(200, fmt::format(R"({{"revision":{}}})", found->second.revision));
    }

    HttpResponse list(const std::string& prefix)
    {
        Json entries = Json::array();
        for (auto entry = values_.lower_bound(prefix);
             entry != values_.end() && entry->first.starts_with(prefix); ++entry)
            entries.push_back(
                {{"key", entry->first}, {"value", entry->second.text}, {"revision", entry->second.revision}});
        return jsonResponse(200, Json({{"revision", revision_}, {"entries", entries}}).dump());
    }

    HttpResponse usage(const HttpRequest& request)
    {
        std::string id(request.headers.get("Idempotency-Key"));
        auto inserted = usage_.emplace(id, request.body);
        if (!inserted.second && inserted.first->second != request.body) {
            ++usageConflicts_;
            return jsonResponse(409, R"({"error":"the window was reported with other figures"})");
        }
        ++usageReports_[id];
        return jsonResponse(200, "{}");
    }

    HttpResponse order(const HttpRequest& request)
    {
        std::string id(request.headers.get("Idempotency-Key"));
        orders_.emplace(id, request.body);
        orderLog_.push_back(parseJsonOrDiscard(request.body));
        return jsonResponse(200, "{}");
    }

    HttpResponse state()
    {
        Json body = {{"reads", reads_}, {"writes", writes_}, {"usage", usage_},
            {"usage_reports", usageReports_}, {"usage_conflicts", usageConflicts_}, {"orders", orderLog_}};
        Json keys = Json::array();
        for (const auto& entry : values_)
            keys.push_back(entry.first);
        body["keys"] = keys;
        return jsonResponse(200, body.dump());
    }

    SystemClock clock_;
    Fault fault_;
    std::mutex mutex_;
    std::map<std::string, Value> values_;
    // Starts at the current time in milliseconds, so that revisions also increase over restarts.
    std::uint64_t revision_ = static_cast<std::uint64_t>(SystemClock().unixMillis());
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::string vms_ = R"({"vms":[]})";
    std::map<std::string, std::string> usage_;
    std::map<std::string, int> usageReports_;
    int usageConflicts_ = 0;
    std::map<std::string, std::string> orders_;
    std::vector<Json> orderLog_;
};

} // namespace
} // namespace ragwortwinch::stand_in

int main(int argc, char** argv)
{
    using namespace ragwortwinch::stand_in;
    return serve(readOptions(argc, argv, {{"port", "0"}}), std::make_shared<Platform>());
}
