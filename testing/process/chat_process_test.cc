#include "testing/process/test_system.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace ragwortwinch::process {
namespace {

std::string contentOf(const HttpCallResult& answer)
{
    return stringMember(parseJsonOrDiscard(answer.body)["choices"][0]["message"], "content");
}

// Returns an engine that is generating, or null.
ChildProcess* busyEngine(TestSystem& system)
{
    for (const std::unique_ptr<ChildProcess>& engine : system.engines) {
        if (integerMember(system.control(*engine, "state"), "running") > 0)
            return engine.get();
    }
    return nullptr;
}

// Calls `injectFault` with the engine that generates an answer; the answer must still arrive complete.
void checkResumed(const std::function<void(TestSystem&, ChildProcess&)>& injectFault)
{
    TestSystem system({.nodes = 1, .engines = 2});
    std::string expected = contentOf(system.chat(0, "the same prompt", 300));
    std::future<HttpCallResult> answer
        = std::async(std::launch::async, [&] { return system.chat(0, "the same prompt", 300); });
    ChildProcess* engine = nullptr;
    system.waitUntil("an engine generates", [&] { return (engine = busyEngine(system)) != nullptr; });
    std::this_thread::sleep_for(Millis(300));
    injectFault(system, *engine);
    HttpCallResult result = answer.get();
    CHECK(result.status == 200);
    CHECK(contentOf(result) == expected);
    CHECK(system.admin(0, "GET", "/dump")["broken_invariants"] == 0);
}

TEST_CASE("an answer resumes at another engine when its engine is killed")
{
    checkResumed([](TestSystem&, ChildProcess& engine) { engine.signal(SIGKILL); });
}

TEST_CASE("an answer resumes at another engine when its engine sends nothing more")
{
    checkResumed([](TestSystem&, ChildProcess& engine) { engine.signal(SIGSTOP); });
}

TEST_CASE("an answer with another request's id is discarded")
{
    TestSystem system({.nodes = 1, .engines = 2});
    std::string expected = contentOf(system.chat(0, "whose answer", 10));
    for (const std::unique_ptr<ChildProcess>& engine : system.engines) {
        system.setFault(*engine, "wrong_id");
        CHECK(contentOf(system.chat(0, "whose answer", 10)) == expected);
        system.setFault(*engine, "none");
        system.waitUntil("the engine is used again", [&] {
            return booleanMember(system.admin(0, "GET", "/admin/v1/status")["endpoints"][0], "usable");
        });
    }
}

TEST_CASE("a complete stream ends with its terminal marker; one cut off because no engine is left does not")
{
    TestSystem system({.nodes = 1, .engines = 1});
    HttpCallResult complete = system.chat(0, "streamed", 20, true);
    CHECK(complete.body.ends_with("data: [DONE]\n\n"));
    std::future<HttpCallResult> answer
        = std::async(std::launch::async, [&] { return system.chat(0, "streamed", 2000, true); });
    system.waitUntil("the engine generates", [&] { return busyEngine(system) != nullptr; });
    std::this_thread::sleep_for(Millis(200));
    system.engines[0]->signal(SIGKILL);
    HttpCallResult truncated = answer.get();
    CHECK(truncated.body.find("[DONE]") == std::string::npos);
    CHECK(truncated.body.find("\"request\":\"ran\"") != std::string::npos);
}

TEST_CASE("the key appears neither in what engines and services receive nor in the node's dump")
{
    TestSystem system({.nodes = 1, .engines = 1});
    system.chat(0, "secret", 3);
    system.book(0, "crate", "once-1");
    CHECK(system.control(*system.engines[0], "state").dump().find(TestSystem::key) == std::string::npos);
    CHECK(system.control(*system.services[0], "state").dump().find(TestSystem::key) == std::string::npos);
    CHECK(system.admin(0, "GET", "/dump").dump().find(TestSystem::key) == std::string::npos);
}

TEST_CASE("a node stopped with SIGTERM finishes its streams and then exits with 0")
{
    TestSystem system({.nodes = 2, .engines = 1});
    std::future<HttpCallResult> answer
        = std::async(std::launch::async, [&] { return system.chat(0, "a long answer", 500, true); });
    system.waitUntil("the engine generates", [&] { return busyEngine(system) != nullptr; });
    system.nodes[0]->signal(SIGTERM);
    system.waitUntil("the node is no longer listed", [&] {
        return parseJsonOrDiscard(system.entry(1, "GET", "/v1/entry").body)["addresses"].size() == 1;
    });
    CHECK(answer.get().body.ends_with("data: [DONE]\n\n"));
    CHECK(system.nodes[0]->wait() == 0);
}

TEST_CASE("a leaving engine finishes its stream and gets no new work, also while the store is down")
{
    TestSystem system({.nodes = 2, .engines = 2});
    system.waitUntilChangesSettled();
    std::future<HttpCallResult> answer
        = std::async(std::launch::async, [&] { return system.chat(0, "leaving", 600, true); });
    ChildProcess* engine = nullptr;
    system.waitUntil("an engine generates", [&] { return (engine = busyEngine(system)) != nullptr; });
    system.setFault(*system.platform, "silent");
    system.control(*engine, "leave", "{}");
    std::string name = engine == system.engines[0].get() ? "engine-0" : "engine-1";
    for (int node : {0, 1}) {
        system.waitUntil("the node lists the engine as leaving", [&] {
            Json status = system.admin(node, "GET", "/admin/v1/status");
            for (const Json& endpoint : status["endpoints"]) {
                if (stringMember(endpoint, "name") == name)
                    return booleanMember(endpoint, "leaving");
            }
            return false;
        });
    }
    CHECK(answer.get().body.ends_with("data: [DONE]\n\n"));
    // Once the confirmation is older than the freshness bound, requests that need a key run only if all
    // nodes report that the store is down.
    for (int node : {0, 1})
        system.waitUntil("the nodes agree that the store is down", [&] {
            return integerMember(system.admin(node, "GET", "/admin/v1/status"), "proof_age_ms") > 2500
                && system.chat(node, "agreed", 1).status == 200;
        });
    std::string seen = stringMember(system.control(*engine, "state"), "last_body");
    for (int index = 0; index < 6; ++index)
        CHECK(system.chat(index % 2, "after " + std::to_string(index), 2).status == 200);
    CHECK(stringMember(system.control(*engine, "state"), "last_body") == seen);
}

} // namespace
} // namespace ragwortwinch::process
