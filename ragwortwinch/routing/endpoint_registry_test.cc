#include "ragwortwinch/routing/endpoint_registry.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

EndpointRecord record(const std::string& id, std::int64_t incarnation = 1)
{
    EndpointRecord value;
    value.id = id;
    value.incarnation = incarnation;
    value.service = "desk";
    value.address = {"10.0.0.1", 80};
    return value;
}

Instant at(int millis) { return Instant(Millis(100000 + millis)); }

TEST_CASE("an endpoint whose entry is removed is dropped at once")
{
    EndpointRegistry registry;
    registry.onList(at(0), {record("a"), record("b")});
    CHECK(registry.tick(at(0)));
    registry.onRemoved(at(10), "a");
    CHECK(registry.tick(at(10)));
    CHECK(registry.size() == 1);
    CHECK_FALSE(registry.tick(at(11)));
}

TEST_CASE(
    "endpoints whose entries expired during an outage of the store are kept for the grace period after it")
{
    EndpointRegistry registry;
    registry.onList(at(0), {record("a"), record("b")});
    registry.onStoreLost();
    registry.tick(at(60000));
    CHECK(registry.size() == 2);
    registry.onStoreRegained(at(60000));
    registry.onList(at(60010), {});
    registry.tick(at(61000));
    CHECK(registry.size() == 2);
    registry.onPut(at(61500), record("a"));
    registry.tick(at(62400));
    CHECK(registry.size() == 1);
    CHECK(registry.records()[0].id == "a");
}

TEST_CASE("an endpoint whose entry is removed after the grace period is dropped at once")
{
    EndpointRegistry registry;
    registry.onList(at(0), {record("a")});
    registry.onStoreLost();
    registry.onStoreRegained(at(1000));
    registry.onRemoved(at(3400), "a");
    CHECK(registry.size() == 0);
}

TEST_CASE(
    "an endpoint whose entry is removed within the grace period is dropped at its end, not a period later")
{
    EndpointRegistry registry;
    registry.onList(at(0), {record("a")});
    registry.onStoreLost();
    registry.onStoreRegained(at(1000));
    registry.onRemoved(at(2500), "a");
    registry.tick(at(3200));
    CHECK(registry.size() == 1);
    registry.tick(at(3300));
    CHECK(registry.size() == 0);
}

TEST_CASE("an earlier incarnation of an endpoint doesn't replace a later one")
{
    EndpointRegistry registry;
    registry.onPut(at(0), record("a", 7));
    EndpointRecord late = record("a", 6);
    late.isDraining = true;
    registry.onPut(at(1), late);
    CHECK_FALSE(registry.records()[0].isDraining);
}

TEST_CASE(
    "an endpoint that has left or is leaving is not usable again when a restored store lists it as ready")
{
    EndpointRegistry registry;
    EndpointRecord leaving = record("b");
    leaving.isDraining = true;
    registry.onList(at(0), {record("a"), record("b"), record("c")});
    registry.onRemoved(at(10), "a");
    registry.onPut(at(10), leaving);
    registry.onStoreRestored(at(20));
    registry.onList(at(30), {record("a"), record("b")});
    registry.tick(at(30));
    // "c", which the copy lacks, has time to register again.
    REQUIRE(registry.size() == 2);
    CHECK(registry.records()[0].id == "b");
    CHECK(registry.records()[0].isDraining);
    // A newer incarnation is another endpoint.
    registry.onPut(at(40), record("a", 2));
    registry.tick(at(5000));
    CHECK(registry.size() == 2);
    CHECK(registry.records()[0].id == "a");
}

TEST_CASE("an endpoint that announces itself ready again is usable while the store was not restored")
{
    EndpointRegistry registry;
    EndpointRecord leaving = record("a");
    leaving.isDraining = true;
    registry.onList(at(0), {leaving});
    registry.onPut(at(10), record("a"));
    CHECK_FALSE(registry.records()[0].isDraining);
}

// Guards against a list that undoes what a peer has told after the list was made.
TEST_CASE("a list says nothing about endpoints of which something newer is known")
{
    EndpointRegistry registry;
    EndpointRecord leaving = record("a");
    leaving.isDraining = true;
    CHECK(registry.onPut(at(0), record("a")));
    CHECK(registry.onPut(at(0), leaving));
    CHECK_FALSE(registry.onPut(at(0), leaving));
    registry.onPut(at(0), record("b"));
    registry.onList(at(10), {}, {"a"});
    REQUIRE(registry.size() == 1);
    CHECK(registry.records()[0].id == "a");
    CHECK(registry.records()[0].isDraining);
}

// Guards against the removal of an endpoint whose registration a heartbeat has renewed.
TEST_CASE("a heartbeat keeps an endpoint whose removal was deferred")
{
    EndpointRegistry registry;
    registry.onList(at(0), {record("a")});
    CHECK(registry.holds(record("a")));
    CHECK_FALSE(registry.holds(record("a", 9)));
    CHECK_FALSE(registry.onHeartbeat("b"));
    registry.onStoreLost();
    registry.onRemoved(at(10), "a");
    registry.onStoreRegained(at(20));
    CHECK(registry.onHeartbeat("a"));
    registry.tick(at(10000));
    CHECK(registry.size() == 1);
}

} // namespace
} // namespace ragwortwinch
