#include "ragwortwinch/store/store_follower.h"
#include "ragwortwinch/store/store_news_receiver.h"
#include "ragwortwinch/store/store_news_sender.h"
#include "ragwortwinch/store/watch_interval.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

Instant at(int millis) { return Instant(Millis(50000 + millis)); }

StoreEvent put(std::string key, std::uint64_t revision) { return {std::move(key), "value", revision, false}; }
StoreEvent removal(std::string key, std::uint64_t revision) { return {std::move(key), {}, revision, true}; }

StoreNewsReceiver makeReceiver()
{
    StoreNewsReceiver receiver({"members/", "quarantine/"});
    receiver.onEra(1);
    return receiver;
}

// Guards against a changed rhythm in small deployments, which have nothing to gain from sharing.
TEST_CASE("up to 12 VMs watch every 500 ms and don't share")
{
    WatchInterval interval;
    for (std::size_t vms : {1U, 6U, 12U}) {
        CHECK_FALSE(interval.update(vms, vms));
        CHECK_FALSE(interval.isShared());
        CHECK(interval.next(0.99) == Millis(500));
    }
}

TEST_CASE("the watch interval grows with the VMs and with the readers of the zone")
{
    WatchInterval interval;
    CHECK(interval.update(24, 24));
    CHECK(interval.isShared());
    CHECK(interval.base() == Millis(1000));
    CHECK(interval.update(300, 8));
    CHECK(interval.base() == Millis(800));
    CHECK(interval.update(300, 100));
    CHECK(interval.base() == Millis(1800));
    CHECK_FALSE(interval.update(301, 99));
}

// Guards against facts of 2 s and more at a VM to which no peer tells anything.
TEST_CASE("a VM without another reader in its zone watches every 500 ms")
{
    WatchInterval interval;
    interval.update(300, 100);
    CHECK(interval.update(300, 1));
    CHECK(interval.isShared());
    CHECK(interval.next(0.5) == Millis(500));
}

TEST_CASE("the random part spreads watches and never exceeds the longest interval")
{
    WatchInterval interval;
    interval.update(300, 100);
    // After a growth the phase is drawn from the whole interval, since VMs that start together are in step.
    CHECK(interval.next(0.25) == Millis(450));
    CHECK(interval.next(0) == Millis(1800));
    CHECK(interval.next(0.999999) <= WatchInterval::longest);
    CHECK(interval.next(0.5) == Millis(1890));
}

TEST_CASE("a shorter interval brings the next watch forward, but not the retry after a failure")
{
    OpIds ids;
    StoreFollower follower({"members/"}, "", FollowerOptions{}, ids);
    StoreAnswer list;
    list.opId = follower.tick(at(0))[0].id;
    list.status = StoreStatus::Ok;
    list.revision = 4;
    follower.onAnswer(at(0), list);
    follower.setMinWatchInterval(Millis(2000));
    REQUIRE(follower.takeWatch(at(0)));
    follower.onWatchAnswer(at(5), 1, {WatchStatus::Ok, {}, 5});
    CHECK_FALSE(follower.takeWatch(at(600)));
    follower.setMinWatchInterval(Millis(500));
    follower.watchWithin(Millis(500));
    REQUIRE(follower.takeWatch(at(600)));
    follower.onWatchAnswer(at(1500), 2, {WatchStatus::Unavailable, {}, 0});
    follower.watchWithin(Millis(500));
    CHECK_FALSE(follower.takeWatch(at(1900)));
    CHECK(follower.takeWatch(at(2000)));
}

// Guards against a VM that resumes after a pause and tells what has changed since.
TEST_CASE("changes at or below the revision that was applied are not accepted")
{
    StoreNewsReceiver receiver = makeReceiver();
    CHECK(receiver.acceptFromPeer(1, put("members/a", 10)));
    CHECK_FALSE(receiver.acceptFromStore(put("members/a", 9)));
    CHECK_FALSE(receiver.acceptFromStore(put("members/a", 10)));
    CHECK(receiver.acceptFromStore(removal("members/a", 12)));
    CHECK_FALSE(receiver.acceptFromPeer(1, put("members/a", 11)));
    CHECK(receiver.acceptFromPeer(1, put("members/a", 13)));
}

// Guards against an endpoint that comes back after its removal has been forgotten.
TEST_CASE("a removed key stays removed once the own watch has passed its removal")
{
    StoreNewsReceiver receiver = makeReceiver();
    receiver.acceptFromPeer(1, put("members/a", 10));
    receiver.acceptFromPeer(1, removal("members/a", 12));
    CHECK(receiver.keyCount() == 1);
    receiver.onPosition(11);
    CHECK(receiver.keyCount() == 1);
    receiver.onPosition(15);
    CHECK(receiver.keyCount() == 0);
    CHECK_FALSE(receiver.acceptFromPeer(1, put("members/a", 10)));
    CHECK(receiver.acceptFromPeer(1, put("members/a", 16)));
}

TEST_CASE("changes of another era are not accepted, and a new era forgets the revisions")
{
    StoreNewsReceiver receiver = makeReceiver();
    receiver.acceptFromPeer(1, put("members/a", 100));
    receiver.onPosition(100);
    CHECK_FALSE(receiver.acceptFromPeer(2, put("members/a", 101)));
    CHECK_FALSE(receiver.acceptFromPeer(std::nullopt, put("members/a", 101)));
    receiver.onEra(2);
    CHECK_FALSE(receiver.acceptFromPeer(1, put("members/a", 101)));
    CHECK(receiver.acceptFromPeer(2, put("members/a", 50)));
    // The same era named again changes nothing.
    receiver.onEra(2);
    CHECK_FALSE(receiver.acceptFromStore(put("members/a", 50)));
}

TEST_CASE("entries of a list don't replace what is newer, and missing keys are old")
{
    StoreNewsReceiver receiver = makeReceiver();
    receiver.acceptFromPeer(1, put("members/newer", 30));
    receiver.acceptFromPeer(1, put("members/unlisted", 31));
    receiver.acceptFromPeer(1, removal("members/removed", 32));
    receiver.acceptFromPeer(1, put("members/gone", 5));
    receiver.acceptFromPeer(1, put("quarantine/x", 6));
    StoreNewsReceiver::NewerList list = receiver.onList("members/",
        {{"members/newer", "old", 8}, {"members/removed", "old", 9}, {"members/same", "v", 20}}, 25);
    REQUIRE(list.entries.size() == 1);
    CHECK(list.entries[0].key == "members/same");
    CHECK(list.newerKeys == std::set<std::string>{"members/newer", "members/unlisted"});
    CHECK_FALSE(receiver.acceptFromPeer(1, put("members/gone", 24)));
    CHECK(receiver.acceptFromPeer(1, put("members/gone", 26)));
    // A list says nothing about other prefixes.
    CHECK(receiver.acceptFromStore(put("quarantine/y", 7)));
}

TEST_CASE("keys that aren't shared and events without a revision")
{
    StoreNewsReceiver receiver = makeReceiver();
    CHECK_FALSE(receiver.acceptFromPeer(1, put("vm/a", 5)));
    CHECK_FALSE(receiver.acceptFromPeer(1, put("members/a", 0)));
    receiver.acceptFromStore(put("members/a", 5));
    CHECK(receiver.acceptFromStore(removal("members/a", 0)));
}

TEST_CASE("changes go in one batch, unless a peer has told them before")
{
    StoreNewsSender sender;
    sender.onOwnChange(at(0), put("members/a", 5));
    sender.onOwnChange(at(0), put("members/b", 6));
    sender.onOwnChange(at(0), put("members/c", 7));
    sender.onOwnChange(at(0), removal("members/c", 9));
    sender.onPeerChange(put("members/a", 5));
    sender.onPeerChange(put("members/c", 8));
    std::vector<StoreEvent> changes = sender.take(at(0), 27);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "members/b");
    CHECK(changes[1].isRemoval);
    CHECK(sender.take(at(50), 27).empty());
}

// Guards against a full link when all endpoints of a zone change at once.
TEST_CASE("many changes at once keep within the bandwidth, and old ones are dropped")
{
    StoreNewsSender sender;
    constexpr std::size_t peers = 100;
    for (int index = 0; index < 1000; ++index)
        sender.onOwnChange(at(0),
            {"members/" + std::to_string(index), std::string(300, 'v'), std::uint64_t(index + 1), false});
    double bytes = 0;
    std::size_t sent = 0;
    for (int millis = 0; millis <= 3000; millis += 50) {
        for (const StoreEvent& change : sender.take(at(millis), peers)) {
            bytes += static_cast<double>((change.key.size() + change.value.size()) * peers);
            ++sent;
        }
    }
    CHECK(sent > 15);
    CHECK(bytes <= StoreNewsSender::burstBytes + 2 * StoreNewsSender::bytesPerSecond);
    CHECK(sent + sender.droppedCount() == 1000);
}

} // namespace
} // namespace ragwortwinch
