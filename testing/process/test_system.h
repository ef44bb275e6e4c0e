// A small system of real processes on the loopback address: nodes, and stand-ins for the platform, engines
// and plain services.
//
//     TestSystem system({.nodes = 3, .engines = 2});
//     HttpCallResult answer = system.chat(0, "hello", 20);
//     system.waitUntil("the engine is idle", [&] { return ...; });
//
// The constructor throws std::runtime_error if the system does not become ready. Calls from several threads
// are safe while no node is being added.
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
    // Tokens per second of each stream.
    std::string tokenRate = "200";
    bool engineChecksFencing = false;
    // Blocks in each engine's KV cache.
    std::string kvBlocks = "2000";
};

class TestSystem {
public:
    static constexpr const char* key = "rw-test-key-of-the-riders";

    explicit TestSystem(const SystemSize& size);

    // Calls to the entry or admin address of one node, or to the control routes of one stand-in. `admin` and
    // `control` return a discarded value if the answer is not JSON.
    HttpCallResult entry(int node, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::string& withKey = key,
        const std::string& idempotencyKey = {});
    HttpCallResult chat(int node, const std::string& prompt, int tokens, bool stream = false);
    HttpCallResult book(int node, const std::string& id, const std::string& idempotencyKey);
    Json admin(int node, const std::string& method, const std::string& path, const std::string& body = {});
    Json control(const ChildProcess& standIn, const std::string& path, const std::string& body = {});
    void setFault(const ChildProcess& standIn, const std::string& mode, int delayMillis = 0);
    // Returns how often a booking ran in all services together.
    int runsOf(const std::string& booking);

    // Submits the lines in `extra`, followed by the rules of the system, through a node; returns its answer.
    // Without `withKey` the team has no key.
    Json applyRules(int node, const std::string& extra, long long expectedVersion, bool withKey = true);
    // Starts one more node and adds it to the platform's list of VMs.
    void addNode();
    // Polls until the predicate holds; throws std::runtime_error with `what` after 60 seconds.
    void waitUntil(const char* what, const std::function<bool()>& predicate);
    void waitUntilReady();
    // Waits until each node has read the store since its start and has no configuration change of unknown
    // outcome. Only then does its report of a store outage count.
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
