#include "ragwortwinch/usage/usage_figures.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

TEST_CASE("totals that are told as changes add up to the totals, although the first ones are lost")
{
    std::mt19937_64 random(3);
    WindowUsage totals;
    WindowUsage told;
    WindowUsage heard;
    for (int step = 0; step < 500; ++step) {
        std::string team = "team" + std::to_string(random() % 40);
        totals[static_cast<WindowId>(step / 100)][team]
            += {1, static_cast<std::int64_t>(random() % 5000), static_cast<std::int64_t>(random() % 90)};
        if (step % 7 != 0)
            continue;
        WindowUsage changed = changedTotals(totals, told);
        told = totals;
        // A new connection starts with all totals.
        if (step == 350)
            heard = totals;
        if (step < 70)
            continue;
        std::optional<WindowUsage> decoded = decodeTotals(encodeTotals(changed));
        REQUIRE(decoded);
        CHECK(*decoded == changed);
        mergeTotals(heard, *decoded);
    }
    CHECK(heard == told);
    CHECK(changedTotals(totals, totals).empty());
}

TEST_CASE("decoding corrupted totals never crashes")
{
    std::string bytes = encodeTotals({{7, {{"riders", {1, 420, 96}}, {"shops", {300, 1, 0}}}}});
    std::mt19937_64 random(4);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        decodeTotals(damaged);
    }
    CHECK_FALSE(decodeTotals(bytes.substr(0, bytes.size() - 1)).has_value());
}

} // namespace
} // namespace ragwortwinch
