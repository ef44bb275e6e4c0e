// A ForwardServer on a free port, with a FakeCodec, in front of the endpoints of a test.
//
//     ForwardFixture fixture;
//     fixture.setConfig(ForwardFixture::sampleConfig());
//     fixture.setEndpoints({&endpoint});
//     RawSocket caller = fixture.connect();
//     caller.send(ForwardFixture::request("/safe/x", "id-1"));
#pragma once

#include "ragwortwinch/caller/forward_server.h"
#include "testing/forward/fake_codec.h"
#include "testing/forward/fake_endpoint.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace ragwortwinch::testing {

class ForwardFixture {
public:
    // `crashListener` must outlive the fixture.
    explicit ForwardFixture(CrashListener* crashListener = nullptr, const MemoryLimits& memory = {},
        std::size_t maxSessions = ForwardOptions().maxSessions)
        : metrics_(registry_)
        , traffic_(std::make_unique<std::shared_ptr<const TrafficTable>>())
        , usage_(Millis(1000))
    {
        options_.memory = memory;
        options_.maxSessions = maxSessions;
        options_.vm = "vm";
        options_.availabilityZone = "z";
        options_.region = "r";
        options_.retryBudget = {0.2, Millis(10000), 100};
        server_ = std::make_unique<ForwardServer>(
            codec_, clock_, options_, traffic_, usage_, [this] { return clock_.unixMillis(); },
            std::make_unique<AffinityChooser>(), metrics_);
        handleErrors(
            [&]() -> Result<int> {
                BOOST_LEAF_ASSIGN(port_, server_->listen({"127.0.0.1", 0}));
                return 0;
            },
            [](const Error&) { return 1; });
        server_->setCrashListener(crashListener);
        thread_ = std::thread([this] { server_->run(); });
    }
    ~ForwardFixture()
    {
        server_->stop();
        thread_.join();
    }

    // Routes for the team with the key "key": /safe/ (idempotent), /once/ (not idempotent), /events/
    // (resumable stream), /single/ (stream), /prompt/ (stream with a prompt cache). /open/ (idempotent) needs
    // no key.
    static TrafficConfig sampleConfig()
    {
        TrafficConfig config;
        config.version = 1;
        auto add = [&](const std::string& name, RouteKind kind) {
            TrafficRoute route;
            route.name = name;
            route.host = "api";
            route.pathPrefix = "/" + name + "/";
            route.kind = kind;
            route.timeout = Millis(2000);
            route.targetLatency = Millis(200);
            route.targetGap = Millis(100);
            route.maxEndpoints = 2;
            route.services = {{"desk", 1}};
            config.routes.push_back(route);
            return &config.routes.back();
        };
        add("safe", RouteKind::Idempotent);
        add("once", RouteKind::NonIdempotent);
        add("events", RouteKind::Stream)->isResumable = true;
        add("single", RouteKind::Stream);
        add("open", RouteKind::Idempotent)->isOpen = true;
        add("prompt", RouteKind::Stream)->hasPromptCache = true;
        ServiceRule service;
        service.name = "desk";
        service.engine = EngineRule{8, 1000000, 1, Millis(3000), Millis(5000)};
        config.services.push_back(service);
        config.teams = {{"riders", {"key"}, std::nullopt}};
        config.limits.maxHeaderBytes = 4096;
        config.limits.maxBodyBytes = 10000;
        config.limits.headerTimeout = Millis(400);
        return config;
    }

    void setConfig(TrafficConfig config)
    {
        std::shared_ptr<const TrafficTable> table = std::make_shared<TrafficTable>(std::move(config));
        traffic_.replace(std::make_unique<std::shared_ptr<const TrafficTable>>(std::move(table)));
    }

    void setEndpoints(const std::vector<const FakeEndpoint*>& endpoints)
    {
        std::vector<std::pair<const FakeEndpoint*, EngineRole>> plain;
        for (const FakeEndpoint* endpoint : endpoints)
            plain.emplace_back(endpoint, EngineRole::None);
        setEngines(plain);
    }

    // Sets endpoints with roles; their ids are e0, e1, ... in order.
    void setEngines(const std::vector<std::pair<const FakeEndpoint*, EngineRole>>& engines)
    {
        std::vector<EndpointRecord> records;
        for (const auto& [endpoint, role] : engines) {
            EndpointRecord record;
            record.id = "e" + std::to_string(records.size());
            record.incarnation = 1;
            record.service = "desk";
            record.address = {"127.0.0.1", endpoint->port()};
            record.availabilityZone = "z";
            record.slots = 8;
            record.role = role;
            records.push_back(record);
        }
        server_->setEndpoints(records, {{"z", "r"}});
        // The server applies the change on its own thread.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }

    // Connects a caller at 127.0.0.`callerNumber`.
    RawSocket connect(std::uint32_t callerNumber = 1) const
    {
        return RawSocket::connectTo(port_, callerNumber);
    }
    ForwardServer& server() { return *server_; }
    UsageCounter& usage() { return usage_; }
    // Returns how many connections have ended so.
    int connectionEnds(ConnectionEnd end, UnansweredInput input) const
    {
        for (const prometheus::MetricFamily& family : registry_.Collect()) {
            if (family.name != "ragwortwinch_caller_connection_ends_total")
                continue;
            for (const prometheus::ClientMetric& metric : family.metric) {
                bool isAsked = metric.label.size() == 2
                    && metric.label[0].value == connectionEndNames.name(end)
                    && metric.label[1].value == unansweredInputNames.name(input);
                if (isAsked)
                    return static_cast<int>(metric.counter.value);
            }
        }
        return 0;
    }

    static std::string request(const std::string& path, const std::string& id, const std::string& body = "",
        const std::string& extra = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: api\r\nId: " + id + "\r\nKey: key\r\n" + extra
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    FakeCodec codec_;
    SystemClock clock_;
    ForwardOptions options_;
    prometheus::Registry registry_;
    ForwardMetrics metrics_;
    TrafficSnapshot traffic_;
    UsageCounter usage_;
    std::unique_ptr<ForwardServer> server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace ragwortwinch::testing
