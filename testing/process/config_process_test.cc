#include "testing/process/test_system.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace ragwortwinch::process {
namespace {

std::int64_t versionAt(TestSystem& system, int node)
{
    return integerMember(system.admin(node, "GET", "/admin/v1/status"), "config_version");
}

TEST_CASE("of concurrent changes one is accepted, and the others are refused with the version in force")
{
    TestSystem system({.nodes = 3, .engines = 1, .services = 1});
    std::vector<std::future<Json>> answers;
    for (int index = 0; index < 6; ++index)
        answers.push_back(std::async(std::launch::async, [&, index] {
            return system.applyRules(index % 3,
                "{\"rule\": \"limit\", \"name\": \"retry_percent\", \"value\": " + std::to_string(10 + index)
                    + "}, // race\n",
                1);
        }));
    int accepted = 0;
    for (std::future<Json>& answer : answers) {
        Json result = answer.get();
        if (integerMember(result, "version") == 2)
            ++accepted;
        else {
            CHECK(stringMember(result["error"], "kind") == "conflict");
            CHECK(stringMember(result["error"], "message").find("version 2") != std::string::npos);
        }
    }
    CHECK(accepted == 1);
    for (int node = 0; node < 3; ++node)
        system.waitUntil("the change is in force", [&] { return versionAt(system, node) == 2; });
}

TEST_CASE("a removed key stops working on every node, on kept-alive connections too")
{
    TestSystem system({.nodes = 3, .engines = 1, .services = 1});
    for (int node = 0; node < 3; ++node)
        CHECK(system.chat(node, "before", 1).status == 200);
    system.applyRules(0, {}, 1, false);
    for (int node = 0; node < 3; ++node)
        system.waitUntil("the key is refused", [&] { return system.chat(node, "after", 1).status == 401; });
    for (int node = 0; node < 3; ++node)
        CHECK(system.chat(node, "still", 1).status == 401);
}

TEST_CASE(
    "in a store outage keyed requests are served while all VMs report the outage, and refused when one is "
    "unreachable")
{
    TestSystem system({.nodes = 3, .engines = 1, .services = 1});
    system.waitUntilChangesSettled();
    system.setFault(*system.platform, "outage");
    // Older than the freshness bound: keyed requests run only if all VMs report that the store is down.
    system.waitUntil("the last confirmation is old",
        [&] { return integerMember(system.admin(0, "GET", "/admin/v1/status"), "proof_age_ms") > 4000; });
    system.waitUntil("all VMs agree", [&] { return system.chat(0, "agreed", 1).status == 200; });
    system.nodes[2]->signal(SIGSTOP);
    system.waitUntil(
        "keyed requests are refused", [&] { return system.chat(0, "not agreed", 1).status == 503; });
    CHECK(system.entry(0, "POST", "/open/hours", "{\"id\":\"open\"}", "").status == 200);
    system.nodes[2]->signal(SIGCONT);
    system.waitUntil("all VMs agree again", [&] { return system.chat(0, "agreed again", 1).status == 200; });
    system.setFault(*system.platform, "none");
    system.waitUntilReady();
}

TEST_CASE("a node suspended for longer than the freshness bound refuses a key that was removed meanwhile")
{
    TestSystem system({.nodes = 2, .engines = 1, .services = 1});
    system.nodes[1]->signal(SIGSTOP);
    system.applyRules(0, {}, 1, false);
    std::this_thread::sleep_for(Millis(2000));
    system.nodes[1]->signal(SIGCONT);
    // The node continues with the old list of keys, which it must not use.
    for (int index = 0; index < 20; ++index)
        CHECK(system.chat(1, "woken", 1).status != 200);
}

TEST_CASE("a node that starts in a store outage gets the configuration from its peers, and none reverts to "
          "an older one")
{
    TestSystem system({.nodes = 2, .engines = 1, .services = 1});
    system.applyRules(0, "{\"rule\": \"limit\", \"name\": \"retry_percent\", \"value\": 20}, // tests\n", 1);
    system.waitUntil("the change is in force", [&] { return versionAt(system, 1) == 2; });
    system.nodes[0]->signal(SIGKILL);
    system.addNode();
    system.setFault(*system.platform, "outage");
    system.addNode();
    system.waitUntil("the new node has the configuration", [&] { return versionAt(system, 3) == 2; });
    CHECK(versionAt(system, 1) == 2);
    // It can't confirm that the version is the newest, so it serves only open routes.
    CHECK(system.chat(3, "keyed", 1).status == 503);
    system.waitUntil("open routes are served",
        [&] { return system.entry(3, "POST", "/open/hours", "{\"id\":\"open\"}", "").status == 200; });
    system.setFault(*system.platform, "none");
    system.waitUntil("keyed requests are served", [&] { return system.chat(3, "keyed", 1).status == 200; });
}

} // namespace
} // namespace ragwortwinch::process
