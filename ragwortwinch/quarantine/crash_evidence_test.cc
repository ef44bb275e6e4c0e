#include "ragwortwinch/quarantine/crash_evidence.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace ragwortwinch {
namespace {

using Parts = std::vector<TraitId>;

constexpr TraitId shared = 0xa1;
constexpr TraitId harmful = 0xbad;

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

// A crash of the endpoint `number` at `lostMillis`, with one prompt that was sent 100 ms before.
EndpointCrash crash(int number, int lostMillis, const Parts& parts)
{
    return {"e" + std::to_string(number), 1, at(lostMillis), {{parts, at(lostMillis - 100)}}};
}

TEST_CASE("a part is harmful after three crashes that followed one another, whichever VMs saw them")
{
    CrashEvidence evidence;
    evidence.onCrash("a", crash(1, 0, {shared, harmful, 1}));
    evidence.onCrash("b", crash(2, 300, {shared, harmful, 2}));
    evidence.onAnswered(shared, at(350));
    CHECK(evidence.causes().harmful.empty());
    evidence.onCrash("c", crash(3, 600, {shared, harmful, 1}));
    evidence.onAnswered(shared, at(650));
    CHECK(evidence.causes().harmful == Parts{harmful});
}

TEST_CASE("endpoints that crash together count as one crash")
{
    CrashEvidence evidence;
    for (int number = 0; number < 4; ++number)
        evidence.onCrash("a", crash(number, number * 10, {shared}));
    CHECK(evidence.causes().harmful.empty());
    evidence.onCrash("a", crash(10, 500, {shared}));
    CHECK(evidence.causes().harmful == Parts{shared});
}

TEST_CASE("an answer clears the crashes before it")
{
    CrashEvidence evidence;
    evidence.onCrash("a", crash(1, 0, {shared}));
    evidence.onCrash("a", crash(2, 300, {shared}));
    evidence.onAnswered(shared, at(400));
    CHECK(evidence.suspectedParts().empty());
    evidence.onCrash("a", crash(3, 600, {shared}));
    evidence.onCrash("a", crash(4, 900, {shared}));
    evidence.onCrash("a", crash(5, 1200, {shared}));
    CHECK(evidence.causes().harmful.empty());
    CHECK(evidence.suspectedParts() == std::set<TraitId>{shared});
    // Five are needed, since prompts with the part were answered before.
    evidence.onCrash("a", crash(6, 1500, {shared}));
    evidence.onCrash("a", crash(7, 1800, {shared}));
    CHECK(evidence.causes().harmful == Parts{shared});
}

TEST_CASE("a part that shares all crashes with a harmful one is not blamed if it had more prompts in them")
{
    CrashEvidence evidence;
    for (int number = 0; number < 6; ++number) {
        EndpointCrash both = crash(number, number * 300, {shared, harmful});
        both.requests.push_back({{shared, static_cast<TraitId>(number)}, at(number * 300 - 90)});
        evidence.onCrash("a", both);
    }
    CHECK(evidence.causes().harmful == Parts{harmful});
}

TEST_CASE("two harmful parts are found beside crashes of other causes")
{
    CrashEvidence evidence;
    constexpr TraitId second = 0xbad2;
    for (int number = 0; number < 12; ++number) {
        TraitId part = number % 3 == 0 ? harmful
            : number % 3 == 1          ? second
                                       : static_cast<TraitId>(100 + number);
        evidence.onCrash("a", crash(number, number * 300, {shared, part, static_cast<TraitId>(number)}));
        evidence.onAnswered(shared, at(number * 300 + 20));
    }
    std::vector<TraitId> parts = evidence.causes().harmful;
    CHECK(std::set<TraitId>(parts.begin(), parts.end()) == std::set<TraitId>{harmful, second});
}

TEST_CASE("reports of one crash by several VMs are one crash, and the latest report of a VM counts")
{
    CrashEvidence evidence;
    for (const char* vm : {"a", "b", "c", "a"})
        evidence.onCrash(vm, crash(1, 0, {harmful}));
    CHECK(evidence.crashCount() == 1);
    CHECK(evidence.causes().harmful.empty());
}

TEST_CASE("disregarded and expired crashes don't count, and the number of crashes is bounded")
{
    CrashEvidence evidence;
    for (int number = 0; number < 3; ++number)
        evidence.onCrash("a", crash(number, number * 300, {harmful}));
    CHECK(evidence.causes().harmful == Parts{harmful});
    CHECK(evidence.involvedParts().contains(harmful));
    evidence.disregard(harmful, at(600));
    CHECK(evidence.causes().harmful.empty());
    CHECK(evidence.involvedParts().contains(harmful));
    evidence.expire(at(600) + CrashEvidence::retention + Millis(1));
    CHECK(evidence.crashCount() == 0);
    for (int number = 0; number < 300; ++number)
        evidence.onCrash("a", crash(number, number * 300, {shared}));
    CHECK(evidence.crashCount() == CrashEvidence::maxCrashes);
}

} // namespace
} // namespace ragwortwinch
