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

// A closer with authority in era 1 whose last report, of window 7, has no known outcome when the store is
// restored.
struct RestoredCloser : RunningCloser {
    RestoredCloser()
        : RunningCloser(true)
    {
        // The mark of an earlier release names no era; the store's era is learnt later here.
        close({{7, {{"riders", {3, 0, 0}}}}});
        answer(last, {0, StoreStatus::Ok, 2, "", {}});
        REQUIRE(closer.takeReport(Instant(Millis(1000)), held));
    }
};

TEST_CASE("a report without a known outcome is repeated with its figures after the store was restored")
{
    RestoredCloser running;
    running.closer.onStoreEra(
        Instant(Millis(1000)), 2, 8 * 5000 + 1500, AuthoritySpan{Instant(Millis(0)), Instant(Millis(900))});
    CHECK(running.closer.progress().isComplete(2));
    StoreOps read = running.closer.tick(Instant(Millis(2000)), 8 * 5000 + 2500, {9, true});
    REQUIRE(read.size() == 1);
    // The copy has the mark of window 5.
    running.answer(read[0], {0, StoreStatus::Ok, 1, "5", {}});
    CHECK(running.last.key == "usage/closed/0/7");
    std::optional<ClosedWindow> closed = parseClosedWindow(running.last.value);
    REQUIRE(closed);
    CHECK(closed->figures.at("riders").requests == 3);
    running.answer(running.last, {0, StoreStatus::Ok, 3, "", {}});
    CHECK(running.last.key == "usage/mark/0");
    CHECK(running.last.value == "6 2 0");
}

TEST_CASE("windows of which no VM knows whether they were reported are left out after the store was restored")
{
    OpIds ids;
    WindowCloser closer("0", ids, {Millis(5000), Millis(1000), Millis(500), true});
    closer.onStoreEra(Instant(Millis(0)), 2, 20 * 5000, std::nullopt);
    StoreOps read = closer.tick(Instant(Millis(0)), 20 * 5000, {9, true});
    REQUIRE(read.size() == 1);
    StoreOps mark = closer.onAnswer(Instant(Millis(0)), {read[0].id, StoreStatus::Ok, 4, "12 1 0", {}});
    REQUIRE(mark.size() == 1);
    CHECK(mark[0].expectedRevision == std::optional<std::uint64_t>(4));
    // Window 19 ends when the era is first seen, and window 20 closes later.
    CHECK(mark[0].value == "19 2 19");
}

TEST_CASE("nothing is decided about a restored store before the peers had time to tell what they know")
{
    OpIds ids;
    WindowCloser closer("0", ids, {Millis(5000), Millis(1000), Millis(500), true});
    closer.onStoreEra(Instant(Millis(0)), 2, 20 * 5000, std::nullopt);
    StoreOps read = closer.tick(Instant(Millis(0)), 20 * 5000, {9, false});
    CHECK(closer.onAnswer(Instant(Millis(0)), {read[0].id, StoreStatus::Ok, 4, "12 1 0", {}}).empty());
    UsageProgress known;
    known.window = 17;
    known.epoch = 5;
    known.endedByEra = 2;
    closer.onPeerProgress(known, 2, 20 * 5000);
    read = closer.tick(Instant(Millis(3000)), 20 * 5000 + 3000, {9, true});
    StoreOps mark = closer.onAnswer(Instant(Millis(3000)), {read[0].id, StoreStatus::Ok, 4, "12 1 0", {}});
    REQUIRE(mark.size() == 1);
    CHECK(mark[0].value == "17 2 0");
}

TEST_CASE("what VMs know about reported windows survives its encoding, and malformed text is refused")
{
    UsageProgress progress;
    progress.window = 12;
    progress.figures = TeamUsage{{"riders", {3, 4, 5}}};
    progress.epoch = 99;
    progress.endedByEra = 7;
    CHECK(parseUsageProgress(progress.toJson()) == progress);
    for (const char* text : {"", "[]", "{}", R"({"window":-1,"epoch":1})", R"({"window":1,"epoch":"x"})",
             R"({"window":1,"epoch":1,"figures":{"a":["x",1,2]}})",
             R"({"window":1,"epoch":1,"ended_by_era":-2})"})
        CHECK_FALSE(parseUsageProgress(text).has_value());
}

} // namespace
} // namespace ragwortwinch
