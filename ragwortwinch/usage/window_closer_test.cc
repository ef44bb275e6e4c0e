#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/usage/usage_flusher.h"
#include "ragwortwinch/usage/window_closer.h"

#include <doctest/doctest.h>
#include <stdexcept>

namespace ragwortwinch {
namespace {

constexpr Authority held{5, true};

// A closer whose latest reported window is 6, in which one contributor had ten requests.
struct RunningCloser {
    explicit RunningCloser(bool acceptsDirectTotals)
        : closer("0", ids, {Millis(5000), Millis(1000), Millis(500), acceptsDirectTotals})
    {
        setInvariantMode(InvariantMode::Throw);
        ClosedWindow previous;
        previous.window = 6;
        previous.included["usage/node/a"][6]["riders"] = {10, 0, 0};
        answer(tick(), {0, StoreStatus::Ok, 1, "6", {}});
        answer(last, {0, StoreStatus::Ok, 1, previous.toJson(), {}});
    }
    ~RunningCloser() { setInvariantMode(InvariantMode::CountAndLog); }

    StoreOp tick()
    {
        // 1.5 s after the end of window 7; the grace period is 1 s.
        StoreOps ops = closer.tick(Instant(Millis(1000)), 8 * 5000 + 1500, held);
        REQUIRE(ops.size() == 1);
        return ops[0];
    }
    void answer(const StoreOp& op, StoreAnswer given)
    {
        given.opId = op.id;
        StoreOps next = closer.onAnswer(Instant(Millis(1000)), given);
        if (!next.empty())
            last = next[0];
    }
    // Closes window 7 with these totals in the store; returns the window that is written.
    ClosedWindow close(const WindowUsage& stored)
    {
        answer(tick(), {0, StoreStatus::NotFound, 0, "", {}});
        answer(last, {0, StoreStatus::Ok, 0, "", {{"usage/node/a", toJson(stored).dump(), 1}}});
        REQUIRE(last.verb == StoreVerb::Put);
        std::optional<ClosedWindow> closed = parseClosedWindow(last.value);
        REQUIRE(closed);
        return *closed;
    }

    OpIds ids;
    WindowCloser closer;
    StoreOp last;
};

TEST_CASE("usage that was reported from direct totals and then lost with its process is not subtracted")
{
    RunningCloser running(true);
    // The process was killed before it had stored its last two requests of window 6.
    ClosedWindow closed = running.close({{6, {{"riders", {8, 0, 0}}}}, {7, {{"riders", {3, 0, 0}}}}});
    CHECK(closed.figures.at("riders").requests == 3);
    CHECK(closed.carryOver.empty());
    CHECK(closed.included["usage/node/a"][6]["riders"].requests == 10);
}

TEST_CASE("without direct totals, a stored total that decreases violates the invariant")
{
    RunningCloser running(false);
    CHECK_THROWS_AS(running.close({{6, {{"riders", {8, 0, 0}}}}}), std::logic_error);
}

// Each VM counts, whatever their number, and those that have restarted count with both of their processes.
TEST_CASE("the direct totals of hundreds of VMs are all reported")
{
    constexpr int vms = 300;
    RunningCloser running(true);
    for (int vm = 0; vm < vms; ++vm) {
        std::string name = "usage/node/vm" + std::to_string(vm);
        running.closer.setDirectTotals(name + ".1", {{7, {{"riders", {2, 0, 0}}}}});
        if (vm % 10 == 0)
            running.closer.setDirectTotals(name + ".2", {{7, {{"riders", {1, 0, 0}}}}});
    }
    ClosedWindow closed = running.close({});
    CHECK(closed.figures.at("riders").requests == vms * 2 + vms / 10);
}

TEST_CASE("direct totals of processes that have ended are dropped with their windows")
{
    RunningCloser running(true);
    running.closer.setDirectTotals("usage/node/b.1", {{7, {{"riders", {2, 0, 0}}}}});
    running.closer.setDirectTotals("usage/node/b.2", {{7 + retainedWindows, {{"riders", {2, 0, 0}}}}});
    running.closer.setDirectTotals("usage/node/idle.1", {});
    running.closer.tick(Instant(Millis(2000)), (7 + retainedWindows) * 5000, held);
    CHECK(running.closer.directContributors() == 2);
    running.closer.tick(Instant(Millis(3000)), (8 + retainedWindows) * 5000, held);
    CHECK(running.closer.directContributors() == 1);
}

} // namespace
} // namespace ragwortwinch
