#include "ragwortwinch/store/store_follower.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

Instant at(int millis) { return Instant(Millis(50000 + millis)); }

StoreAnswer listAnswer(const StoreOp& op, std::uint64_t revision, std::vector<StoreEntry> entries = {})
{
    StoreAnswer answer;
    answer.opId = op.id;
    answer.status = StoreStatus::Ok;
    answer.revision = revision;
    answer.entries = std::move(entries);
    return answer;
}

WatchAnswer watchAnswer(WatchStatus status, std::uint64_t revision, std::vector<StoreEvent> events = {})
{
    return {status, std::move(events), revision};
}

// A follower of two prefixes; `listBoth` answers its first lists.
struct Fixture {
    OpIds ids;
    StoreFollower follower{{"rules/", "members/"}, "", FollowerOptions{}, ids};

    void listBoth(int when)
    {
        StoreOps first = follower.tick(at(when));
        REQUIRE(first.size() == 1);
        StoreOps second = follower.onAnswer(at(when), listAnswer(first[0], 9, {{"rules/head", "x", 4}}));
        REQUIRE(second.size() == 1);
        CHECK(second[0].key == "members/");
        follower.onAnswer(at(when), listAnswer(second[0], 12));
        follower.takeUpdates();
    }
};

TEST_CASE("the watch starts at the revision of the first list")
{
    Fixture fixture;
    fixture.listBoth(0);
    std::optional<WatchRequest> watch = fixture.follower.takeWatch(at(0));
    REQUIRE(watch.has_value());
    CHECK(watch->afterRevision == 9);
    CHECK_FALSE(fixture.follower.takeWatch(at(0)).has_value());
}

TEST_CASE("watches are rate-limited, and changes of other keys are filtered out")
{
    Fixture fixture;
    fixture.listBoth(0);
    fixture.follower.takeWatch(at(0));
    fixture.follower.onWatchAnswer(at(10), 1,
        watchAnswer(WatchStatus::Ok, 14, {{"members/a", "v", 13, false}, {"usage/x", "v", 14, false}}));
    std::vector<FollowerUpdate> updates = fixture.follower.takeUpdates();
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].event.key == "members/a");
    CHECK_FALSE(fixture.follower.takeWatch(at(400)).has_value());
    CHECK(fixture.follower.takeWatch(at(500))->afterRevision == 14);
}

TEST_CASE("a gap in the history causes a new list of all prefixes")
{
    Fixture fixture;
    fixture.listBoth(0);
    fixture.follower.takeWatch(at(0));
    fixture.follower.onWatchAnswer(at(10), 1, watchAnswer(WatchStatus::HistoryLost, 0));
    CHECK(fixture.follower.tick(at(10)).size() == 1);
}

TEST_CASE("an outage is reported once, and the watch continues at the same revision")
{
    Fixture fixture;
    fixture.listBoth(0);
    fixture.follower.takeWatch(at(0));
    fixture.follower.onWatchAnswer(at(10), 1, watchAnswer(WatchStatus::Unavailable, 0));
    CHECK(fixture.follower.takeUpdates().size() == 1);
    CHECK_FALSE(fixture.follower.takeWatch(at(300)).has_value());
    CHECK(fixture.follower.takeWatch(at(510))->afterRevision == 9);
    fixture.follower.onWatchAnswer(at(520), 2, watchAnswer(WatchStatus::Unavailable, 0));
    CHECK(fixture.follower.takeUpdates().empty());
    fixture.follower.takeWatch(at(1100));
    fixture.follower.onWatchAnswer(at(1110), 3, watchAnswer(WatchStatus::Ok, 20));
    std::vector<FollowerUpdate> updates = fixture.follower.takeUpdates();
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].kind == FollowerUpdate::Kind::StoreRegained);
}

TEST_CASE("after a restore, changes are not missed by an answer to a watch from before it")
{
    Fixture fixture;
    fixture.listBoth(0);
    fixture.follower.takeWatch(at(0));
    fixture.follower.onStoreRestored(at(10));
    // Revisions up to 9 have been given out again.
    fixture.listBoth(10);
    std::optional<WatchRequest> watch = fixture.follower.takeWatch(at(600));
    REQUIRE(watch.has_value());
    fixture.follower.takeUpdates();
    fixture.follower.onWatchAnswer(at(610), 1, watchAnswer(WatchStatus::Ok, 30));
    CHECK(fixture.follower.revision() == watch->afterRevision);
    fixture.follower.onWatchAnswer(
        at(620), watch->id, watchAnswer(WatchStatus::Ok, 12, {{"members/a", "v", 11, false}}));
    CHECK(fixture.follower.takeUpdates().size() == 1);
}

// Guards against lists that start from the beginning after each failure: when all VMs of a large deployment
// start together, the store turns some calls away and each list costs several.
TEST_CASE("after a failure the lists go on with the one that failed")
{
    Fixture fixture;
    StoreOps first = fixture.follower.tick(at(0));
    REQUIRE(first.size() == 1);
    StoreOps second = fixture.follower.onAnswer(at(0), listAnswer(first[0], 9, {{"rules/head", "x", 4}}));
    REQUIRE(second.size() == 1);
    StoreAnswer failure;
    failure.opId = second[0].id;
    failure.status = StoreStatus::Unavailable;
    CHECK(fixture.follower.onAnswer(at(10), failure).empty());
    CHECK(fixture.follower.tick(at(400)).empty());
    StoreOps retried = fixture.follower.tick(at(510));
    REQUIRE(retried.size() == 1);
    CHECK(retried[0].key == "members/");
    CHECK(fixture.follower.onAnswer(at(510), listAnswer(retried[0], 40)).empty());
    // Changes of the first prefix since its list are not missed.
    std::optional<WatchRequest> watch = fixture.follower.takeWatch(at(510));
    REQUIRE(watch.has_value());
    CHECK(watch->afterRevision == 9);
    // A restored store is listed from the beginning.
    fixture.follower.onStoreRestored(at(600));
    StoreOps restored = fixture.follower.tick(at(600));
    REQUIRE(restored.size() == 1);
    CHECK(restored[0].key == "rules/");
}

// Guards against entries that are lost or taken from another era when a list goes on after a failure.
TEST_CASE("a list goes on after the entries that it had before a failure")
{
    Fixture fixture;
    StoreOps first = fixture.follower.tick(at(0));
    REQUIRE(first.size() == 1);
    CHECK(first[0].after.empty());
    StoreAnswer partial = listAnswer(first[0], 9, {{"rules/a", "x", 4}});
    partial.status = StoreStatus::Unavailable;
    fixture.follower.onAnswer(at(0), partial);
    StoreOps rest = fixture.follower.tick(at(500));
    REQUIRE(rest.size() == 1);
    CHECK(rest[0].key == "rules/");
    CHECK(rest[0].after == "rules/a");
    fixture.follower.takeUpdates();
    fixture.follower.onAnswer(at(500), listAnswer(rest[0], 40, {{"rules/b", "x", 39}}));
    std::vector<FollowerUpdate> updates = fixture.follower.takeUpdates();
    REQUIRE(updates.size() == 2);
    CHECK(updates[1].entries.size() == 2);
    // The revision at the first entry, so that the watch reports changes since then.
    CHECK(updates[1].revision == 9);

    fixture.follower.onStoreRestored(at(600));
    first = fixture.follower.tick(at(600));
    REQUIRE(first.size() == 1);
    partial.opId = first[0].id;
    fixture.follower.onAnswer(at(600), partial);
    fixture.follower.onStoreRestored(at(610));
    first = fixture.follower.tick(at(610));
    REQUIRE(first.size() == 1);
    CHECK(first[0].after.empty());
}

} // namespace
} // namespace ragwortwinch
