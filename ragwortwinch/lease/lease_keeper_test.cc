#include "ragwortwinch/lease/lease_keeper.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

Instant at(std::int64_t millis) { return Instant(Millis(millis)); }

StoreAnswer answerTo(
    const StoreOps& ops, StoreStatus status, std::uint64_t revision = 0, std::string value = {})
{
    REQUIRE(ops.size() == 1);
    return {ops[0].id, status, revision, std::move(value), {}};
}

LeaseKeeper makeKeeper(OpIds& ids)
{
    return LeaseKeeper(
        "fleet/north", "n1", "i1", ids, LeaseOptions{Millis(1000), Millis(100), Millis(300), Millis(50)});
}

StoreOps acquire(LeaseKeeper& keeper, std::int64_t now)
{
    StoreOps read = keeper.tick(at(now));
    return keeper.onAnswer(at(now), answerTo(read, StoreStatus::NotFound));
}

TEST_CASE("authority is counted from when the acquisition was sent, less the margin")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    StoreOps put = acquire(keeper, 0);
    keeper.onAnswer(at(200), answerTo(put, StoreStatus::Ok, 7));
    CHECK(keeper.epoch() == 7);
    CHECK(keeper.isHeld(at(899)));
    CHECK_FALSE(keeper.isHeld(at(900)));
}

TEST_CASE("a renewal whose answer is lost does not extend authority")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    keeper.onAnswer(at(0), answerTo(acquire(keeper, 0), StoreStatus::Ok, 7));
    StoreOps renewal = keeper.tick(at(300));
    REQUIRE(renewal.size() == 1);
    CHECK(renewal[0].verb == StoreVerb::KeepAlive);
    keeper.onAnswer(at(400), answerTo(renewal, StoreStatus::Unknown));
    CHECK_FALSE(keeper.isHeld(at(900)));
    CHECK(keeper.tick(at(900)).empty());
    CHECK(keeper.epoch() == 0);
}

TEST_CASE("an acquisition answered after its authority has ended gives no authority")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    keeper.onAnswer(at(950), answerTo(acquire(keeper, 0), StoreStatus::Ok, 7));
    CHECK(keeper.epoch() == 0);
}

TEST_CASE("an acquisition whose answer was lost is recognised by its attempt number")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    StoreOps put = acquire(keeper, 0);
    std::string written = put[0].value;
    keeper.onAnswer(at(100), answerTo(put, StoreStatus::Unknown));
    StoreOps read = keeper.tick(at(200));
    keeper.onAnswer(at(210), answerTo(read, StoreStatus::Ok, 7, written));
    CHECK(keeper.epoch() == 7);
    CHECK_FALSE(keeper.isHeld(at(900)));
}

TEST_CASE("the quiet period applies after an expiry but not after a release")
{
    OpIds ids;
    LeaseKeeper afterExpiry = makeKeeper(ids);
    afterExpiry.onAnswer(at(0), answerTo(acquire(afterExpiry, 0), StoreStatus::Ok, 7));
    CHECK_FALSE(afterExpiry.isQuietPeriodOver(at(1)));

    LeaseKeeper afterRelease = makeKeeper(ids);
    StoreOps put = afterRelease.onAnswer(
        at(0), answerTo(afterRelease.tick(at(0)), StoreStatus::Ok, 9, R"({"released":true})"));
    REQUIRE(put.size() == 1);
    CHECK(put[0].expectedRevision == 9);
    afterRelease.onAnswer(at(0), answerTo(put, StoreStatus::Ok, 10));
    CHECK(afterRelease.isQuietPeriodOver(at(1)));
}

TEST_CASE("a lease held by another node is not acquired")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    StoreOps ops
        = keeper.onAnswer(at(0), answerTo(keeper.tick(at(0)), StoreStatus::Ok, 3, R"({"holder":"n2"})"));
    CHECK(ops.empty());
    CHECK(keeper.holder() == "n2");
    CHECK_FALSE(keeper.isHeld(at(1)));
}

TEST_CASE("a lease ends when the store is restored, and the next one has a greater token")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    StoreAnswer acquired = answerTo(acquire(keeper, 0), StoreStatus::Ok, 700);
    acquired.era = 1;
    keeper.onAnswer(at(0), acquired);
    std::uint64_t former = keeper.epoch();
    StoreOps renewal = keeper.tick(at(300));
    keeper.onStoreRestored(at(310));
    CHECK_FALSE(keeper.isHeld(at(310)));
    // The number of the lost lease may have been given to another.
    keeper.onAnswer(at(320), answerTo(renewal, StoreStatus::Ok));
    CHECK_FALSE(keeper.isHeld(at(320)));
    StoreAnswer again = answerTo(acquire(keeper, 330), StoreStatus::Ok, 9);
    again.era = 2;
    keeper.onAnswer(at(330), again);
    CHECK(keeper.epoch() > former);
    CHECK_FALSE(keeper.isQuietPeriodOver(at(340)));
}

TEST_CASE("a keeper takes over what the restored store holds of its own lease")
{
    OpIds ids;
    LeaseKeeper keeper = makeKeeper(ids);
    StoreOps put = acquire(keeper, 0);
    std::string value = put[0].value;
    keeper.onAnswer(at(0), answerTo(put, StoreStatus::Ok, 700));
    keeper.onStoreRestored(at(10));
    StoreOps again = keeper.onAnswer(at(20), answerTo(keeper.tick(at(20)), StoreStatus::Ok, 650, value));
    REQUIRE(again.size() == 1);
    CHECK(again[0].expectedRevision == std::optional<std::uint64_t>(650));
}

} // namespace
} // namespace ragwortwinch
