#include "ragwortwinch/forward/lag_monitor.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

Instant at(std::int64_t millis) { return Instant(Millis(millis)); }

TEST_CASE("a stalled thread knows its lag in the first event after the stall")
{
    LagMonitor monitor(Millis(100));
    CHECK(monitor.lag(at(5000)) == Millis(0));
    monitor.start(at(0));
    CHECK(monitor.lag(at(100)) == Millis(0));
    CHECK(monitor.lag(at(1300)) == Millis(1200));
    monitor.onTimer(at(1300));
    CHECK(monitor.lag(at(1350)) == Millis(0));
}

TEST_CASE("a spell starts at the first long lag and ends after a calm time")
{
    LagMonitor monitor(Millis(100));
    monitor.start(at(0));
    CHECK_FALSE(monitor.onTimer(at(110)).has_value());
    std::optional<LagSpell> start = monitor.onTimer(at(510));
    REQUIRE(start);
    CHECK_FALSE(start->hasEnded);
    CHECK(start->worst == Millis(300));
    CHECK(monitor.isBehind());
    CHECK(monitor.recentLag(at(700)) == Millis(300));
    // On time, and late again before the spell is over.
    Instant now = at(510);
    for (int tick = 0; tick < 5; ++tick) {
        now += Millis(100);
        CHECK_FALSE(monitor.onTimer(now).has_value());
    }
    now += Millis(500);
    CHECK_FALSE(monitor.onTimer(now).has_value());
    std::optional<LagSpell> end;
    for (int tick = 0; tick < 30 && !end; ++tick) {
        now += Millis(100);
        end = monitor.onTimer(now);
    }
    REQUIRE(end);
    CHECK(end->hasEnded);
    CHECK(end->worst == Millis(400));
    CHECK(end->duration >= LagMonitor::calmTime);
    CHECK_FALSE(monitor.isBehind());
    CHECK(monitor.recentLag(now) == Millis(0));
}

} // namespace
} // namespace ragwortwinch
