#include "ragwortwinch/membership/shared_limit.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace ragwortwinch {
namespace {

constexpr Millis window{10000};

Instant at(std::int64_t millis) { return Instant(Millis(millis)); }

TEST_CASE("a part follows the greatest number of VMs within the window")
{
    SharedLimit limit(100, window, at(0));
    CHECK(limit.part(at(20000)) == 0);
    limit.onVmCount(at(20000), 4);
    CHECK(limit.part(at(20000)) == 25);
    limit.onVmCount(at(21000), 10);
    CHECK(limit.part(at(21000)) == 10);
    limit.onVmCount(at(22000), 5);
    CHECK(limit.part(at(22000)) == 10);
    limit.onVmCount(at(30999), 5);
    CHECK(limit.part(at(30999)) == 10);
    limit.onVmCount(at(31000), 5);
    CHECK(limit.part(at(31000)) == 20);
}

TEST_CASE("a process has no part in its first window")
{
    SharedLimit limit(100, window, at(5000));
    limit.onVmCount(at(5000), 4);
    CHECK(limit.part(at(14999)) == 0);
    CHECK(limit.part(at(15000)) == 25);
}

// A VM that spends its whole part as soon as it can.
struct Spender {
    Spender(double whole, Instant startedAt)
        : limit(whole, window, startedAt)
    {
    }
    SharedLimit limit;
    std::deque<Instant> uses;
};

// Plays VMs that start, restart, vanish and hear late of one another, all of which spend as much as they can.
// Returns the most that all of them spent within any window.
std::size_t mostSpent(std::uint64_t seed, double whole, std::size_t vms)
{
    constexpr std::int64_t step = 100;
    // Within this many steps every VM has heard of a VM that has started.
    constexpr std::size_t newsSteps = 20;
    std::mt19937_64 random(seed);
    std::map<std::size_t, Spender> running;
    std::deque<std::size_t> counts;
    std::deque<Instant> uses;
    std::size_t most = 0;
    std::size_t next = 0;
    while (next < vms)
        running.emplace(next++, Spender(whole, at(0)));
    for (std::int64_t now = 0; now < 60000; now += step) {
        if (random() % 20 == 0) {
            // A restart, a start of a new VM, or the end of one, of up to half of the fleet at once.
            std::size_t changes = 1 + random() % (1 + running.size() / 2);
            for (std::size_t change = 0; change < changes; ++change) {
                if (random() % 2 && !running.empty())
                    running.erase(std::next(running.begin(), static_cast<long>(random() % running.size())));
                if (random() % 2 && running.size() < vms)
                    running.emplace(next++, Spender(whole, at(now)));
            }
        }
        counts.push_back(running.size());
        if (counts.size() > newsSteps)
            counts.pop_front();
        while (!uses.empty() && uses.front() + window <= at(now))
            uses.pop_front();
        for (auto& [id, spender] : running) {
            spender.limit.onVmCount(at(now), std::max<std::size_t>(1, counts[random() % counts.size()]));
            while (!spender.uses.empty() && spender.uses.front() + window <= at(now))
                spender.uses.pop_front();
            while (static_cast<double>(spender.uses.size() + 1) <= spender.limit.part(at(now))) {
                spender.uses.push_back(at(now));
                uses.push_back(at(now));
            }
        }
        most = std::max(most, uses.size());
    }
    return most;
}

TEST_CASE("the parts of all VMs never add up to more than the whole, while they start, restart and leave")
{
    for (std::size_t vms : {6, 200, 1000}) {
        for (std::uint64_t seed = 1; seed <= (vms > 200 ? 2u : 20u); ++seed) {
            CAPTURE(vms);
            CAPTURE(seed);
            double whole = 4.0 * static_cast<double>(vms);
            std::size_t most = mostSpent(seed, whole, vms);
            CHECK(most > 0);
            CHECK(static_cast<double>(most) <= whole);
        }
    }
}

} // namespace
} // namespace ragwortwinch
