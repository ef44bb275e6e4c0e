#include "testing/process/test_system.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <thread>

namespace ragwortwinch::process {
namespace {

// Returns the node other than `excluded` that holds `duty` and has passed its quiet period, or -1.
int holderOf(TestSystem& system, const std::string& duty, int excluded = -1)
{
    for (std::size_t index = 0; index < system.nodes.size(); ++index) {
        if (static_cast<int>(index) == excluded)
            continue;
        Json status = system.admin(static_cast<int>(index), "GET", "/admin/v1/status");
        for (const Json& entry : status["duties"]) {
            if (stringMember(entry, "duty") == duty && booleanMember(entry, "held")
                && booleanMember(entry, "quiet_period_over"))
                return static_cast<int>(index);
        }
    }
    return -1;
}

void submitOrder(TestSystem& system, int node, const std::string& role)
{
    system.waitUntil("the order is accepted", [&] {
        return stringMember(
                   system.admin(node, "POST", "/admin/v1/orders",
                       Json({{"endpoint", "engine-0"}, {"kind", "set_role"}, {"argument", role}}).dump()),
                   "order")
            == "accepted";
    });
}

// Checks that the epochs and numbers of the orders, listed as they arrived, never decrease.
void checkOrderLog(const Json& orders)
{
    std::int64_t epoch = 0;
    std::int64_t number = 0;
    for (const Json& entry : orders) {
        CHECK(integerMember(entry, "epoch") >= epoch);
        CHECK(integerMember(entry, "number") >= number);
        epoch = integerMember(entry, "epoch");
        number = integerMember(entry, "number");
    }
}

TEST_CASE("a suspended holder of a duty is replaced, and none of its orders takes effect after it continues")
{
    for (bool checksFencing : {false, true}) {
        TestSystem system({.nodes = 3, .engines = 1, .services = 1, .engineChecksFencing = checksFencing});
        std::string duty = "fleet/north-cnx";
        int first = -1;
        system.waitUntil("the duty is held", [&] { return (first = holderOf(system, duty)) >= 0; });
        submitOrder(system, first, "prefill");
        // The order is in flight, at an arbitrary point, when the node is suspended.
        system.nodes[static_cast<std::size_t>(first)]->signal(SIGSTOP);
        int second = -1;
        system.waitUntil(
            "another node holds the duty", [&] { return (second = holderOf(system, duty, first)) >= 0; });
        submitOrder(system, second, "decode");
        system.waitUntil("the new order is carried out",
            [&] { return stringMember(system.control(*system.engines[0], "state"), "role") == "decode"; });
        system.nodes[static_cast<std::size_t>(first)]->signal(SIGCONT);
        std::this_thread::sleep_for(Millis(1000));
        Json state = system.control(*system.engines[0], "state");
        CHECK(stringMember(state, "role") == "decode");
        checkOrderLog(state["orders"]);
    }
}

TEST_CASE("usage is reported exactly once while the holders of the duty are killed and suspended")
{
    TestSystem system({.nodes = 3, .engines = 1, .services = 1});
    int sent = 0;
    int succeeded = 0;
    for (int round = 0; round < 2; ++round) {
        for (int index = 0; index < 6; ++index, ++sent)
            succeeded += system.chat(2, fmt::format("usage {}", sent), 2).status == 200 ? 1 : 0;
        int holder = -1;
        system.waitUntil(
            "the usage duty is held", [&] { return (holder = holderOf(system, "usage/0")) >= 0; });
        // Node 2 counts the requests and must keep running.
        if (holder == 2)
            break;
        system.nodes[static_cast<std::size_t>(holder)]->signal(round == 0 ? SIGSTOP : SIGKILL);
        int next = -1;
        system.waitUntil("another node holds the usage duty",
            [&] { return (next = holderOf(system, "usage/0", holder)) >= 0; });
        system.nodes[static_cast<std::size_t>(holder)]->signal(SIGCONT);
        if (round == 1)
            break;
    }
    auto reportedRequests = [&] {
        std::int64_t sum = 0;
        Json state = system.control(*system.platform, "state");
        for (const auto& report : state["usage"].items()) {
            Json body = parseJsonOrDiscard(report.value().get<std::string>());
            for (const char* part : {"figures", "carry_over"}) {
                if (body[part].contains("riders"))
                    sum += body[part]["riders"][0].get<std::int64_t>();
            }
        }
        return sum;
    };
    system.waitUntil("all requests are reported", [&] { return reportedRequests() >= succeeded; });
    std::this_thread::sleep_for(Millis(2500));
    CHECK(reportedRequests() == succeeded);
    CHECK(integerMember(system.control(*system.platform, "state"), "usage_conflicts") == 0);
}

} // namespace
} // namespace ragwortwinch::process
