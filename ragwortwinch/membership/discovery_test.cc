#include "ragwortwinch/membership/cluster_clock.h"
#include "ragwortwinch/membership/entry_vm_choice.h"
#include "ragwortwinch/membership/vm_registration.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

namespace ragwortwinch {
namespace {

VmInfo vm(const std::string& name, const std::string& zone)
{
    return {name, zone, "region-of-" + zone, {"10.0.0.1", 80}, {"10.0.0.1", 81}, 5, false, true};
}

Instant at(int millis) { return Instant(Millis(900000 + millis)); }

TEST_CASE("callers are directed to the VMs of their own zone, and to others if these are fewer than two")
{
    std::vector<VmInfo> all{vm("a", "z1"), vm("b", "z1"), vm("c", "z2"), vm("d", "z3")};
    std::vector<VmInfo> near = chooseEntryVms(all, "z1", "region-of-z1");
    REQUIRE(near.size() == 2);
    CHECK(near[0].availabilityZone == "z1");
    CHECK(near[1].availabilityZone == "z1");
    std::vector<VmInfo> few = chooseEntryVms(all, "z2", "region-of-z2");
    REQUIRE(few.size() == 2);
    CHECK(few[0].name == "c");
    CHECK(chooseEntryVms({}, "z1", "r").empty());
}

// A zone of the grown deployments: 2 strong and 12 weak VMs.
std::vector<VmInfo> unequalZone()
{
    std::vector<VmInfo> zone;
    for (int number = 0; number < 14; ++number) {
        zone.push_back(vm("vm" + std::to_string(number), "z1"));
        zone.back().linkMbps = number < 2 ? 200 : 10;
        zone.back().processorCores = number < 2 ? 0.5 : 0.12;
    }
    return zone;
}

std::map<std::string, int> entriesOf(const std::vector<VmInfo>& vms)
{
    std::map<std::string, int> counts;
    for (const VmInfo& entry : repeatByCapacity(vms, 64))
        ++counts[entry.name];
    return counts;
}

TEST_CASE("strong VMs stand more often in an address answer than weak ones, and each VM stands there")
{
    std::map<std::string, int> counts = entriesOf(unequalZone());
    CHECK(counts.size() == 14);
    CHECK(counts["vm0"] >= 8);
    CHECK(counts["vm0"] == counts["vm1"]);
    CHECK(counts["vm13"] == 1);
    CHECK(repeatByCapacity(unequalZone(), 64).size() <= 64);
}

TEST_CASE("VMs that are alike, or of which nothing is known, stand once each in an address answer")
{
    std::vector<VmInfo> alike{vm("a", "z1"), vm("b", "z1"), vm("c", "z1")};
    CHECK(repeatByCapacity(alike, 64).size() == 3);
    for (VmInfo& entry : alike)
        entry.linkMbps = 1000;
    CHECK(repeatByCapacity(alike, 64).size() == 3);
    alike[1].linkMbps = 0;
    CHECK(repeatByCapacity(alike, 64).size() == 3);
    CHECK(repeatByCapacity({}, 64).empty());
    CHECK(repeatByCapacity({vm("a", "z1")}, 64).size() == 1);
}

TEST_CASE("a VM that lags gets fewer callers, is never left out, and no VM gets more than half of them")
{
    std::vector<VmInfo> zone = unequalZone();
    zone[0].lag = Millis(900);
    std::map<std::string, int> counts = entriesOf(zone);
    CHECK(counts["vm0"] >= 1);
    CHECK(counts["vm1"] >= 5 * counts["vm0"]);
    // Two VMs of which one hardly answers.
    std::vector<VmInfo> pair{vm("a", "z1"), vm("b", "z1")};
    pair[0].lag = Millis(5000);
    counts = entriesOf(pair);
    CHECK(counts["a"] == 1);
    CHECK(counts["b"] == 1);
    // More VMs than an answer holds.
    std::vector<VmInfo> many;
    for (int number = 0; number < 100; ++number)
        many.push_back(vm("vm" + std::to_string(number), "z1"));
    CHECK(repeatByCapacity(many, 64).size() == 64);
}

// Each VM serves its callers' requests one after the other over its link. Returns the share of the requests
// that wait for longer than a tenth of their target before they are sent, in a burst of three times the usual
// rate.
double lateShare(const std::vector<VmInfo>& addresses)
{
    constexpr double requestsPerSecond = 3 * 140;
    // A prompt of 9 KB crosses the link three times.
    constexpr double megabitsPerRequest = 3 * 9.0 * 8 / 1000;
    constexpr double targetSeconds = 0.25;
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(requestsPerSecond);
    std::map<std::string, double> freeAt;
    int late = 0;
    int all = 0;
    for (double now = 0; now < 10; now += gap(random), ++all) {
        const VmInfo& chosen = addresses[random() % addresses.size()];
        double& free = freeAt[chosen.name];
        late += free - now > targetSeconds / 10 ? 1 : 0;
        free = std::max(free, now) + megabitsPerRequest / chosen.linkMbps;
    }
    return static_cast<double>(late) / all;
}

TEST_CASE("callers that are shared out by capacity wait less before small VMs than with equal shares")
{
    std::vector<VmInfo> zone = unequalZone();
    double equal = lateShare(zone);
    double byCapacity = lateShare(repeatByCapacity(zone, 64));
    MESSAGE("share of requests that wait: equal ", equal, ", by capacity ", byCapacity);
    CHECK(byCapacity < equal / 3);
}

TEST_CASE("a clock that jumps in either direction doesn't change the common time")
{
    for (std::int64_t jump : {-2400, 2400}) {
        ClusterClock time;
        time.onOwnClock(at(0), 1000000);
        for (const char* peer : {"a", "b", "c"})
            time.onPeerClock(at(0), peer, 1000003);
        time.onOwnClock(at(100), 1000100 + jump);
        CHECK(std::abs(time.unixMillis(at(100)) - 1000100) <= 5);
        CHECK(std::abs(time.ownErrorMillis() - jump) <= 5);
    }
}

TEST_CASE("with one peer the previous offset is kept when the two clocks diverge")
{
    ClusterClock time;
    time.onOwnClock(at(0), 1000000);
    time.onPeerClock(at(0), "a", 1000002);
    time.onOwnClock(at(250), 1000250);
    time.onPeerClock(at(500), "a", 1002500);
    time.onOwnClock(at(500), 1000500);
    CHECK(std::abs(time.unixMillis(at(500)) - 1000500) <= 2);
}

TEST_CASE("readings of peers that send no more heartbeats expire")
{
    ClusterClock time;
    time.onPeerClock(at(0), "a", 5000000);
    time.onPeerClock(at(0), "b", 5000000);
    time.onOwnClock(at(6000), 1006000);
    CHECK(time.unixMillis(at(6000)) == 1006000);
}

TEST_CASE("a VM's entry is renewed, and written again after it has expired")
{
    OpIds ids;
    VmRegistration registration(vm("a", "z1"), ids, Millis(9000));
    StoreOps put = registration.tick(at(0));
    REQUIRE(put.size() == 1);
    CHECK(put[0].verb == StoreVerb::Put);
    CHECK(decodeVmEntry(put[0].value)->name == "a");
    StoreAnswer ok;
    ok.opId = put[0].id;
    ok.status = StoreStatus::Ok;
    registration.onAnswer(at(0), ok);
    CHECK(registration.tick(at(2000)).empty());
    StoreOps renewal = registration.tick(at(3000));
    REQUIRE(renewal.size() == 1);
    CHECK(renewal[0].verb == StoreVerb::KeepAlive);
    StoreAnswer lapsed;
    lapsed.opId = renewal[0].id;
    lapsed.status = StoreStatus::NotFound;
    registration.onAnswer(at(3000), lapsed);
    CHECK(registration.tick(at(4000))[0].verb == StoreVerb::Put);
}

StoreAnswer answerTo(const StoreOps& ops, StoreStatus status, std::uint64_t revision = 0)
{
    REQUIRE(ops.size() == 1);
    StoreAnswer answer;
    answer.opId = ops[0].id;
    answer.status = status;
    answer.revision = revision;
    answer.lease = revision + 1000;
    return answer;
}

// Guards against a VM that leaves the others' lists for good: a write or removal that its previous process
// sent, or an earlier write of its own, was carried out late and took the entry whose lease it renews.
TEST_CASE("a VM's late writes have no effect on an entry that was written after them")
{
    OpIds ids;
    VmRegistration former(vm("a", "z1"), ids, Millis(9000));
    StoreOps late = former.tick(at(0));
    REQUIRE(late.size() == 1);
    CHECK(late[0].expectedRevision == std::optional<std::uint64_t>(0));
    former.onAnswer(at(0), answerTo(late, StoreStatus::Ok, 5));
    former.remove();
    StoreOps lateRemoval = former.tick(at(3000));
    REQUIRE(lateRemoval.size() == 1);
    CHECK(lateRemoval[0].verb == StoreVerb::Delete);
    CHECK(lateRemoval[0].expectedRevision == std::optional<std::uint64_t>(5));

    // The next process finds the entry, replaces it and renews the lease of its own write.
    VmRegistration next(vm("a", "z1"), ids, Millis(9000));
    next.onAnswer(at(4000), answerTo(next.tick(at(4000)), StoreStatus::Conflict, 5));
    StoreOps read = next.tick(at(4000));
    StoreOps write = next.onAnswer(at(4000), answerTo(read, StoreStatus::Ok, 5));
    REQUIRE(write.size() == 1);
    CHECK(write[0].expectedRevision == std::optional<std::uint64_t>(5));
    next.onAnswer(at(4000), answerTo(write, StoreStatus::Ok, 9));
    StoreOps renewal = next.tick(at(7000));
    REQUIRE(renewal.size() == 1);
    CHECK(renewal[0].lease == 1009);
}

TEST_CASE("a VM whose entry was written without an answer reads it before it writes or removes it")
{
    for (bool isStopping : {false, true}) {
        CAPTURE(isStopping);
        OpIds ids;
        VmRegistration registration(vm("a", "z1"), ids, Millis(9000));
        registration.onAnswer(at(0), answerTo(registration.tick(at(0)), StoreStatus::Unknown));
        if (isStopping)
            registration.remove();
        StoreOps read = registration.tick(at(1000));
        REQUIRE(read.size() == 1);
        CHECK(read[0].verb == StoreVerb::Get);
        StoreOps next = registration.onAnswer(at(1000), answerTo(read, StoreStatus::Ok, 7));
        REQUIRE(next.size() == 1);
        CHECK(next[0].verb == (isStopping ? StoreVerb::Delete : StoreVerb::Put));
        CHECK(next[0].expectedRevision == std::optional<std::uint64_t>(7));
    }
}

TEST_CASE("a malformed entry decodes to nothing")
{
    CHECK_FALSE(decodeVmEntry("").has_value());
    CHECK_FALSE(decodeVmEntry(R"({"name":"a"})").has_value());
    CHECK_FALSE(decodeVmEntry(R"([1,2])").has_value());
}

} // namespace
} // namespace ragwortwinch
