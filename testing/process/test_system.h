// A small system of real processes on loopback: a platform, engines, plain services, nodes.
//
//     TestSystem system({.nodes = 3, .engines = 2});
//     HttpCallResult answer = system.chat(0, "hello", 20);
//     system.until([&] { return ...; });
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/net/http_client.h"
#include "testing/process/child_process.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortwinch::process {

struct SystemSize {
    int nodes = 2;
    int engines = 2;
    int services = 1;
    std::string tokenRate = "200";
    bool engineChecksFencing = false;
    std::string pieces = "2000";
};

class TestSystem {
public:
    static constexpr const char* key = "rw-test-key-of-the-riders";

    explicit TestSystem(const SystemSize& size);

    // Calls to one process.
    HttpCallResult entry(int node, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::string& withKey = key,
        const std::string& idempotencyKey = {});
    HttpCallResult chat(int node, const std::string& prompt, int tokens, bool stream = false);
    HttpCallResult book(int node, const std::string& id, const std::string& idempotencyKey);
    Json admin(int node, const std::string& method, const std::string& path, const std::string& body = {});
    Json control(const ChildProcess& standIn, const std::string& path, const std::string& body = {});
    void setFault(const ChildProcess& standIn, const std::string& mode, int delayMillis = 0);
    // Returns how often a booking ran, over all services.
    int runsOf(const std::string& booking);

    // Applies the rules with `extra` lines through a node; returns its answer.
    Json applyRules(int node, const std::string& extra, long long expectedVersion, bool withKey = true);
    // Starts one more node; the platform lists it.
    void addNode();
    // Repeats until the predicate holds; throws after a generous cap.
    void waitUntil(const char* what, const std::function<bool()>& predicate);
    void waitUntilReady();
    // Waits until each node's word on an outage of the store counts.
    void waitUntilChangesSettled();
    HttpClient& client() { return *client_; }
    std::string entryUrl(int node) const
    {
        return "http://127.0.0.1:"
            + std::to_string(nodes[static_cast<std::size_t>(node)]->port("entry_port"));
    }

    std::unique_ptr<ChildProcess> platform;
    std::vector<std::unique_ptr<ChildProcess>> engines;
    std::vector<std::unique_ptr<ChildProcess>> services;
    std::vector<std::unique_ptr<ChildProcess>> nodes;

private:
    std::string rules(const std::string& extra, bool withKey) const;
    void listVms();

    SystemSize size_;
    std::unique_ptr<HttpClient> client_;
};

} // namespace ragwortwinch::process
