#include "ragwortwinch/store/key_value_store.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/store/call_status.h"

#include <fmt/format.h>

namespace ragwortwinch {

namespace {

constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

StoreStatus statusOf(const HttpCallResult& result)
{
    if (std::optional<StoreStatus> known = statusOfCallEnd(result))
        return *known;
    switch (result.status) {
    case statusNotFound:
        return StoreStatus::NotFound;
    case statusConflict:
        return StoreStatus::Conflict;
    case statusUnavailable:
        return StoreStatus::Unavailable;
    default:
        return StoreStatus::Unknown;
    }
}

StoreAnswer toAnswer(std::uint64_t opId, const HttpCallResult& result)
{
    StoreAnswer answer;
    answer.opId = opId;
    answer.status = statusOf(result);
    if (answer.isOutage())
        return answer;
    Json body = parseJsonOrDiscard(result.body);
    if (body.is_discarded() || !body.is_object()) {
        if (answer.status == StoreStatus::Ok)
            answer.status = StoreStatus::Unknown;
        return answer;
    }
    answer.revision = static_cast<std::uint64_t>(integerMember(body, "revision"));
    answer.value = stringMember(body, "value");
    if (body.contains("entries") && body["entries"].is_array()) {
        for (const Json& entry : body["entries"])
            answer.entries.push_back({stringMember(entry, "key"), stringMember(entry, "value"),
                static_cast<std::uint64_t>(integerMember(entry, "revision"))});
    }
    return answer;
}

class HttpKeyValueStore final : public KeyValueStore {
public:
    HttpKeyValueStore(HttpClient& client, std::string baseUrl, Millis timeout)
        : client_(client)
        , baseUrl_(std::move(baseUrl))
        , timeout_(timeout)
    {
    }

    void execute(StoreOp op, std::function<void(StoreAnswer)> onAnswer) override
    {
        std::uint64_t id = op.id;
        client_.start(toCall(op), [id, onAnswer = std::move(onAnswer)](const HttpCallResult& result) {
            onAnswer(toAnswer(id, result));
        });
    }

private:
    HttpCall toCall(StoreOp& op) const
    {
        std::string key = percentEncode(op.key);
        std::string expect = op.expectedRevision ? std::to_string(*op.expectedRevision) : "any";
        auto call = [this](const char* method, const std::string& path) {
            HttpCallBuilder builder(method, baseUrl_ + path);
            builder.connectTimeout(timeout_).totalTimeout(timeout_);
            return builder;
        };
        switch (op.verb) {
        case StoreVerb::Get:
            return call("GET", "/v1/kv/" + key).build();
        case StoreVerb::List:
            return call("GET", "/v1/list?prefix=" + key).build();
        case StoreVerb::Put:
            return call("PUT", fmt::format("/v1/kv/{}?expect={}&ttl_ms={}", key, expect, op.ttl.count()))
                .body(std::move(op.value))
                .freshConnection(true)
                .build();
        case StoreVerb::KeepAlive:
            return call(
                "POST", fmt::format("/v1/keepalive/{}?expect={}&ttl_ms={}", key, expect, op.ttl.count()))
                .freshConnection(true)
                .build();
        case StoreVerb::Delete:
            return call("DELETE", fmt::format("/v1/kv/{}?expect={}", key, expect))
                .freshConnection(true)
                .build();
        }
        return call("GET", "/v1/kv/" + key).build();
    }

    HttpClient& client_;
    std::string baseUrl_;
    Millis timeout_;
};

} // namespace

std::unique_ptr<KeyValueStore> makeHttpKeyValueStore(HttpClient& client, std::string baseUrl, Millis timeout)
{
    return std::make_unique<HttpKeyValueStore>(client, std::move(baseUrl), timeout);
}

} // namespace ragwortwinch
