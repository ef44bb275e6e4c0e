#include "ragwortwinch/admission/fair_queue.h"
#include "ragwortwinch/admission/key_table.h"
#include "ragwortwinch/admission/retry_budget.h"
#include "ragwortwinch/base/digest.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

namespace ragwortwinch {
namespace {

bool anyTeam(const std::string&) { return true; }

TEST_CASE("teams get tokens in proportion to their weight, regardless of how many requests they send")
{
    FairQueue queue;
    for (std::uint64_t id = 0; id < 900; ++id)
        queue.push({id, "greedy", 1, 200, Instant::max()});
    for (std::uint64_t id = 900; id < 1200; ++id)
        queue.push({id, "modest", 2, 200, Instant::max()});
    std::map<std::string, int> served;
    for (int index = 0; index < 300; ++index) {
        ++served[queue.front(anyTeam)->team];
        queue.popFront();
    }
    CHECK(served["modest"] >= 190);
    CHECK(served["greedy"] >= 95);
}

TEST_CASE("a team whose requests may not start is skipped and keeps them queued")
{
    FairQueue queue;
    queue.push({1, "full", 1, 100, Instant::max()});
    queue.push({2, "free", 1, 100, Instant::max()});
    const QueuedRequest* next = queue.front([](const std::string& team) { return team == "free"; });
    REQUIRE(next);
    CHECK(next->id == 2);
    queue.popFront();
    CHECK(queue.front([](const std::string&) { return false; }) == nullptr);
    CHECK(queue.front(anyTeam)->id == 1);
}

TEST_CASE("a request that costs more than the quantum is served eventually")
{
    FairQueue queue(10);
    queue.push({1, "large", 1, 100000, Instant::max()});
    CHECK(queue.front(anyTeam)->id == 1);
}

TEST_CASE("expired requests are removed, and size and cost stay exact under random operations")
{
    std::mt19937_64 random(20261204);
    FairQueue queue;
    std::size_t size = 0;
    std::int64_t cost = 0;
    std::int64_t now = 0;
    for (std::uint64_t id = 0; id < 20000; ++id) {
        std::uint64_t choice = random() % 3;
        if (choice < 2) {
            std::int64_t requestCost = static_cast<std::int64_t>(random() % 3000 + 1);
            queue.push({id, "t" + std::to_string(random() % 5), static_cast<std::int64_t>(random() % 3 + 1),
                requestCost, Instant(Millis(now + static_cast<std::int64_t>(random() % 100)))});
            ++size;
            cost += requestCost;
        } else if (const QueuedRequest* next
            = queue.front([&](const std::string& team) { return team != "t0" || random() % 2; })) {
            cost -= next->cost;
            queue.popFront();
            --size;
        }
        ++now;
        for (const QueuedRequest& late : queue.takeExpired(Instant(Millis(now)))) {
            CHECK(late.deadline <= Instant(Millis(now)));
            --size;
            cost -= late.cost;
        }
        CHECK(queue.size() == size);
        CHECK(queue.queuedCost() == cost);
    }
}

TEST_CASE("retries stay a fraction of first tries")
{
    RetryBudget budget(10);
    while (budget.tryTake()) { }
    int taken = 0;
    for (int index = 0; index < 1000; ++index) {
        budget.onFirstTry();
        taken += budget.tryTake() ? 1 : 0;
    }
    CHECK(taken <= 100);
    CHECK(taken >= 90);
}

TEST_CASE("a team is found by its key, not by the key's hash")
{
    auto rules = std::make_shared<Rules>();
    rules->teams.push_back({"riders", {sha256Hex("the key")}, 1, 10});
    KeyTable table(rules);
    REQUIRE(table.find("the key"));
    CHECK(table.find("the key")->name == "riders");
    CHECK_FALSE(table.find("the kez"));
    CHECK_FALSE(table.find(sha256Hex("the key")));
}

} // namespace
} // namespace ragwortwinch
