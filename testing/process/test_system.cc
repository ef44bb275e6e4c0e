#include "testing/process/test_system.h"

#include "ragwortwinch/base/digest.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace ragwortwinch::process {

namespace {

constexpr Millis waitTimeout{60000};
constexpr const char* zones[] = {"north-cnx", "central-bkk", "south-hdy"};

std::string binary(const std::string& name)
{
    const char* directory = std::getenv("RAGWORTWINCH_BUILD");
    return std::string(directory ? directory : "build") + "/" + name;
}

std::string settingsFile(std::size_t index, std::uint16_t platformPort, const std::string& seeds)
{
    std::string path = fmt::format(
        "{}/ragwortwinch-test-{}-{}.jsonc", std::filesystem::temp_directory_path().string(), getpid(), index);
    std::ofstream file(path);
    file << fmt::format(R"({{ "node": "node-{}", "availability_zone": "{}", "region": "{}",
"entry_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "platform_url": "http://127.0.0.1:{}",
"seed_peers": [{}], "lease_ttl_ms": 1500, "clock_margin_ms": 150, "send_bound_ms": 300, "heartbeat_ms": 100, "usage_window_ms": 1000, "drain_bound_ms": 20000 }})",
        index, zones[index % 3], zones[index % 3], platformPort, seeds);
    return path;
}

} // namespace

TestSystem::TestSystem(const SystemSize& size)
    : size_(size)
    , client_(makeCurlHttpClient())
{
    platform
        = std::make_unique<ChildProcess>(binary("testing/platform_stand_in"), std::vector<std::string>{});
    for (int index = 0; index < size.engines; ++index)
        engines.push_back(std::make_unique<ChildProcess>(binary("testing/engine_stand_in"),
            std::vector<std::string>{"--name", fmt::format("engine-{}", index), "--token-rate",
                size.tokenRate, "--lag-ms", "50", "--pieces", size.kvBlocks, "--checks-fencing",
                size.engineChecksFencing ? "true" : "false"}));
    for (int index = 0; index < size.services; ++index)
        services.push_back(std::make_unique<ChildProcess>(binary("testing/plain_service_stand_in"),
            std::vector<std::string>{"--name", fmt::format("desk-{}", index)}));
    for (int index = 0; index < size.nodes; ++index)
        addNode();
    if (size.nodes == 0)
        return;
    Json applied = applyRules(0, {}, 0);
    if (integerMember(applied, "version") != 1)
        throw std::runtime_error("the initial rules were not accepted: " + applied.dump());
    waitUntilReady();
}

void TestSystem::addNode()
{
    std::string seeds;
    for (const std::unique_ptr<ChildProcess>& node : nodes)
        seeds += fmt::format("{}\"127.0.0.1:{}\"", seeds.empty() ? "" : ", ", node->port("peer_port"));
    std::string path = settingsFile(nodes.size(), platform->port("port"), seeds);
    nodes.push_back(std::make_unique<ChildProcess>(
        binary("ragwortwinch/ragwortwinchd"), std::vector<std::string>{"--settings", path}));
    unlink(path.c_str());
    listVms();
}

void TestSystem::listVms()
{
    Json vms = Json::array();
    for (std::size_t index = 0; index < nodes.size(); ++index)
        vms.push_back({{"name", fmt::format("node-{}", index)}, {"availability_zone", zones[index % 3]},
            {"region", zones[index % 3]},
            {"entry_address", fmt::format("127.0.0.1:{}", nodes[index]->port("entry_port"))},
            {"peer_address", fmt::format("127.0.0.1:{}", nodes[index]->port("peer_port"))}});
    HttpCall call
        = HttpCallBuilder("PUT", fmt::format("http://127.0.0.1:{}/control/vms", platform->port("port")))
              .body(Json({{"vms", vms}}).dump())
              .build();
    callAndWait(*client_, std::move(call));
}

std::string TestSystem::rules(const std::string& extra, bool withKey) const
{
    std::string text = "{ \"rules\": [\n";
    text += extra;
    for (std::size_t index = 0; index < engines.size(); ++index)
        text += fmt::format("{{\"rule\": \"endpoint\", \"name\": \"engine-{}\", \"service\": \"brew-model\", "
                            "\"kind\": \"engine\", \"address\": \"127.0.0.1:{}\", \"availability_zone\": "
                            "\"{}\", \"region\": \"{}\", \"checks_fencing\": {}}}, // tests\n",
            index, engines[index]->port("port"), zones[index % 3], zones[index % 3],
            size_.engineChecksFencing);
    for (std::size_t index = 0; index < services.size(); ++index)
        text += fmt::format("{{\"rule\": \"endpoint\", \"name\": \"desk-{}\", \"service\": \"order-desk\", "
                            "\"kind\": \"plain\", \"address\": \"127.0.0.1:{}\", \"availability_zone\": "
                            "\"{}\", \"region\": \"{}\"}}, // tests\n",
            index, services[index]->port("port"), zones[index % 3], zones[index % 3]);
    if (!engines.empty())
        text += "{\"rule\": \"route\", \"path\": \"/v1/chat/completions\", \"service\": \"brew-model\", "
                "\"idempotent\": true, \"deadline_ms\": 20000}, // tests\n";
    if (!services.empty())
        text
            += R"({"rule": "route", "path": "/orders/", "service": "order-desk", "idempotent": false, "deadline_ms": 1500}, // tests
{"rule": "route", "path": "/open/", "service": "order-desk", "access": "open", "idempotent": true, "deadline_ms": 1500}, // tests
)";
    text += R"({"rule": "limit", "name": "freshness_bound_ms", "value": 1500}, // tests
{"rule": "limit", "name": "entry_answer_ms", "value": 300}, // tests
{"rule": "limit", "name": "stream_idle_ms", "value": 600}, // tests
{"rule": "limit", "name": "queue_per_team", "value": 10000}, // tests
)";
    return text
        + fmt::format("{{\"rule\": \"team\", \"name\": \"riders\", \"max_concurrent\": 10000, \"keys\": "
                      "[{}]}} // tests\n] }}\n",
            withKey ? "\"" + sha256Hex(key) + "\"" : "");
}

Json TestSystem::applyRules(int node, const std::string& extra, long long expectedVersion, bool withKey)
{
    return admin(node, "PUT",
        fmt::format("/admin/v1/config?expected_version={}&change={}", expectedVersion, secureRandomHex(8)),
        rules(extra, withKey));
}

HttpCallResult TestSystem::entry(int node, const std::string& method, const std::string& path,
    const std::string& body, const std::string& withKey, const std::string& idempotencyKey)
{
    HttpCallBuilder builder(method, entryUrl(node) + path);
    if (!withKey.empty())
        builder.header("Authorization", "Bearer " + withKey);
    if (!idempotencyKey.empty())
        builder.header("Idempotency-Key", idempotencyKey);
    return callAndWait(*client_, builder.body(body).totalTimeout(waitTimeout).build());
}

HttpCallResult TestSystem::chat(int node, const std::string& prompt, int tokens, bool stream)
{
    Json body = {{"model", "brew-model"}, {"max_tokens", tokens}, {"stream", stream},
        {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return entry(node, "POST", "/v1/chat/completions", body.dump());
}

HttpCallResult TestSystem::book(int node, const std::string& id, const std::string& idempotencyKey)
{
    return entry(node, "POST", "/orders/book", Json({{"id", id}}).dump(), key, idempotencyKey);
}

Json TestSystem::admin(int node, const std::string& method, const std::string& path, const std::string& body)
{
    std::string url = fmt::format(
        "http://127.0.0.1:{}{}", nodes[static_cast<std::size_t>(node)]->port("admin_port"), path);
    return parseJsonOrDiscard(
        callAndWait(*client_, HttpCallBuilder(method, url).body(body).totalTimeout(waitTimeout).build())
            .body);
}

Json TestSystem::control(const ChildProcess& standIn, const std::string& path, const std::string& body)
{
    std::string url = fmt::format("http://127.0.0.1:{}/control/{}", standIn.port("port"), path);
    return parseJsonOrDiscard(callAndWait(*client_,
        HttpCallBuilder(body.empty() ? "GET" : "POST", url).body(body).totalTimeout(waitTimeout).build())
                                  .body);
}

void TestSystem::setFault(const ChildProcess& standIn, const std::string& mode, int delayMillis)
{
    control(standIn, "fault", Json({{"mode", mode}, {"delay_ms", delayMillis}}).dump());
}

int TestSystem::runsOf(const std::string& booking)
{
    std::int64_t runs = 0;
    for (const std::unique_ptr<ChildProcess>& service : services)
        runs += integerMember(control(*service, "state")["runs"], booking.c_str());
    return static_cast<int>(runs);
}

void TestSystem::waitUntil(const char* what, const std::function<bool()>& predicate)
{
    SystemClock clock;
    Instant deadline = clock.now() + waitTimeout;
    while (!predicate()) {
        if (clock.now() > deadline)
            throw std::runtime_error(std::string("timed out waiting until ") + what);
        std::this_thread::sleep_for(Millis(20));
    }
}

void TestSystem::waitUntilReady()
{
    waitUntil("all nodes are ready, list each other and can use all endpoints", [this] {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            Json status = admin(static_cast<int>(index), "GET", "/admin/v1/status");
            if (!booleanMember(status, "ready"))
                return false;
            Json answer = parseJsonOrDiscard(entry(static_cast<int>(index), "GET", "/v1/entry").body);
            if (!answer.is_object() || answer["addresses"].size() != nodes.size())
                return false;
            const Json& endpoints = status["endpoints"];
            for (const Json& endpoint : endpoints) {
                if (!booleanMember(endpoint, "usable"))
                    return false;
            }
        }
        return true;
    });
}

void TestSystem::waitUntilChangesSettled()
{
    for (std::size_t index = 0; index < nodes.size(); ++index)
        waitUntil("the node's report of a store outage counts", [&] {
            return booleanMember(
                admin(static_cast<int>(index), "GET", "/admin/v1/status"), "word_on_outage_counts");
        });
}

} // namespace ragwortwinch::process
