#include "ragwortwinch/usage/closed_window.h"
#include "ragwortwinch/usage/usage_counter.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

TEST_CASE("usage that arrives late for a closed window is carried over once")
{
    std::map<std::string, WindowUsage> totals;
    totals["a"][10]["riders"] = {2, 20, 200};
    ClosedWindow first = closeWindow(10, {}, totals);
    CHECK(first.figures.at("riders").requests == 2);
    totals["a"][10]["riders"] = {3, 30, 300};
    totals["b"][11]["riders"] = {1, 1, 1};
    ClosedWindow second = closeWindow(11, *parseClosedWindow(first.toJson()), totals);
    CHECK(second.figures.at("riders").requests == 1);
    CHECK(second.carryOver.at("riders").outputTokens == 100);
    ClosedWindow third = closeWindow(12, *parseClosedWindow(second.toJson()), totals);
    CHECK(third.figures.empty());
    CHECK(third.carryOver.empty());
}

TEST_CASE("the counter counts each window and team separately")
{
    UsageCounter counter(Millis(1000));
    counter.add("riders", {1, 10, 5}, 1500);
    counter.add("riders", {1, 10, 5}, 1999);
    counter.add("desk", {1, 0, 0}, 2000);
    WindowUsage totals = counter.totals();
    CHECK(totals.at(1).at("riders").promptTokens == 20);
    CHECK(totals.at(2).at("desk").requests == 1);
    counter.forgetBefore(2);
    CHECK(counter.totals().size() == 1);
    CHECK(windowUsageFromJson(toJson(totals)) == totals);
}

TEST_CASE("totals sent directly replace smaller stored ones")
{
    WindowUsage stored{{7, {{"riders", {5, 50, 0}}}}};
    mergeTotals(stored, {{7, {{"riders", {4, 60, 0}}, {"desk", {1, 0, 0}}}}, {8, {{"riders", {2, 0, 0}}}}});
    CHECK(stored[7]["riders"] == UsageFigures{5, 60, 0});
    CHECK(stored[7]["desk"].requests == 1);
    CHECK(stored[8]["riders"].requests == 2);
}

} // namespace
} // namespace ragwortwinch
