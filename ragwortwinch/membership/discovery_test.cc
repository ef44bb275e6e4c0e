#include "ragwortwinch/membership/cluster_clock.h"
#include "ragwortwinch/membership/entry_vm_choice.h"
#include "ragwortwinch/membership/vm_registration.h"

#include <doctest/doctest.h>

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

TEST_CASE("a malformed entry decodes to nothing")
{
    CHECK_FALSE(decodeVmEntry("").has_value());
    CHECK_FALSE(decodeVmEntry(R"({"name":"a"})").has_value());
    CHECK_FALSE(decodeVmEntry(R"([1,2])").has_value());
}

} // namespace
} // namespace ragwortwinch
