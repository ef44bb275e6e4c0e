#include "testing/process/test_system.h"

#include <doctest/doctest.h>
#include <future>

namespace ragwortwinch::process {
namespace {

std::string requestState(const HttpCallResult& answer)
{
    return stringMember(parseJsonOrDiscard(answer.body)["error"], "request");
}

TEST_CASE("a booking repeated through another node runs once and gets the recorded answer")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 2});
    HttpCallResult first = system.book(0, "crate-1", "key-1");
    HttpCallResult second = system.book(1, "crate-1", "key-1");
    CHECK(first.status == 200);
    CHECK(second.body == first.body);
    CHECK(second.headers.get("Idempotency-Replayed") == "true");
    CHECK(system.runsOf("crate-1") == 1);
    HttpCallResult other = system.book(1, "crate-2", "key-1");
    CHECK(other.status == 409);
    CHECK(requestState(other) == "not_run");
    CHECK(system.runsOf("crate-2") == 0);
}

TEST_CASE("concurrent repeats through all nodes run once")
{
    TestSystem system({.nodes = 3, .engines = 0, .services = 2});
    for (int round = 0; round < 10; ++round) {
        std::string id = "race-" + std::to_string(round);
        std::vector<std::future<HttpCallResult>> answers;
        for (int index = 0; index < 9; ++index)
            answers.push_back(
                std::async(std::launch::async, [&, index] { return system.book(index % 3, id, id); }));
        for (std::future<HttpCallResult>& answer : answers)
            answer.get();
        CHECK(system.runsOf(id) == 1);
    }
}

TEST_CASE("a booking whose answer is lost is reported as unknown, and no repeat runs it again")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    system.setFault(*system.services[0], "lost_answer");
    HttpCallResult lost = system.book(0, "crate-3", "key-3");
    CHECK(lost.status == 502);
    CHECK(requestState(lost) == "outcome_unknown");
    system.setFault(*system.services[0], "none");
    HttpCallResult repeat = system.book(1, "crate-3", "key-3");
    CHECK(requestState(repeat) == "outcome_unknown");
    CHECK(system.runsOf("crate-3") == 1);
}

TEST_CASE("a booking that the service refuses is reported as not run, and a repeat may run it")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    system.setFault(*system.services[0], "outage");
    HttpCallResult refused = system.book(0, "crate-4", "key-4");
    CHECK(requestState(refused) == "not_run");
    CHECK(system.runsOf("crate-4") == 0);
    system.setFault(*system.services[0], "none");
    system.waitUntil(
        "the service is used again", [&] { return system.book(1, "crate-4", "key-4").status == 200; });
    CHECK(system.runsOf("crate-4") == 1);
}

TEST_CASE("while the store is down a booking with an idempotency key is refused as not run, and nothing runs")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    for (const char* mode : {"outage", "silent"}) {
        system.setFault(*system.platform, mode);
        std::string id = std::string("down-") + mode;
        HttpCallResult refused = system.book(0, id, id);
        CHECK(refused.status == 503);
        CHECK(requestState(refused) == "not_run");
        CHECK(system.runsOf(id) == 0);
        system.setFault(*system.platform, "none");
        system.waitUntilReady();
    }
}

TEST_CASE("when the store's answer to a claim is lost, the claim is read back and the booking runs once")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    system.setFault(*system.platform, "lost_answer");
    HttpCallResult first = system.book(0, "crate-5", "key-5");
    CHECK(first.status == 200);
    system.setFault(*system.platform, "none");
    system.waitUntilReady();
    HttpCallResult repeat = system.book(1, "crate-5", "key-5");
    CHECK(repeat.status == 200);
    CHECK(system.runsOf("crate-5") == 1);
}

TEST_CASE("a booking whose node is killed while it runs stays unknown, and no repeat runs it again")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    system.setFault(*system.services[0], "none", 600);
    std::future<HttpCallResult> answer
        = std::async(std::launch::async, [&] { return system.book(0, "crate-6", "key-6"); });
    system.waitUntil("the claim is in the store", [&] {
        return system.control(*system.platform, "state")["keys"].dump().find("once/") != std::string::npos;
    });
    system.nodes[0]->signal(SIGKILL);
    CHECK(answer.get().end != CallEnd::Complete);
    HttpCallResult repeat = system.book(1, "crate-6", "key-6");
    CHECK(requestState(repeat) == "outcome_unknown");
    CHECK(system.runsOf("crate-6") <= 1);
}

} // namespace
} // namespace ragwortwinch::process
