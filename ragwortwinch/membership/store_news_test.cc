#include "ragwortwinch/membership/store_news.h"

#include "ragwortwinch/membership/peer_heartbeat.h"
#include "ragwortwinch/membership/peer_message.h"
#include "ragwortwinch/store/store_follower.h"
#include "ragwortwinch/store/store_news_receiver.h"
#include "ragwortwinch/store/store_news_sender.h"
#include "ragwortwinch/store/watch_interval.h"
#include "testing/protocol/virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>

namespace ragwortwinch {
namespace {

StoreNews decodeWhole(const std::string& bytes)
{
    PeerFrameReader reader;
    reader.append(bytes);
    std::optional<PeerFrame> frame = reader.next();
    REQUIRE(frame.has_value());
    CHECK(frame->kind == PeerMessageKind::StoreNews);
    std::optional<StoreNews> news = decodeStoreNews(frame->payload);
    REQUIRE(news.has_value());
    return *news;
}

TEST_CASE("changes from the store survive encoding")
{
    StoreNews news{7, {{"members/a", std::string("\0v", 2), 412, false}, {"members/b", "", 413, true}}};
    StoreNews decoded = decodeWhole(encodeStoreNews(news));
    CHECK(decoded.era == 7);
    REQUIRE(decoded.changes.size() == 2);
    CHECK(decoded.changes[0].key == "members/a");
    CHECK(decoded.changes[0].value == std::string("\0v", 2));
    CHECK(decoded.changes[0].revision == 412);
    CHECK_FALSE(decoded.changes[0].isRemoval);
    CHECK(decoded.changes[1].isRemoval);
    CHECK_FALSE(decodeWhole(encodeStoreNews({})).era.has_value());
}

// Guards against a malformed frame that is read beyond its end or taken for a change.
TEST_CASE("truncated changes from the store are rejected")
{
    std::string payload = encodeStoreNews({7, {{"members/a", "value", 412, false}}}).substr(6);
    constexpr std::size_t eraBytes = 9;
    for (std::size_t size = 0; size < payload.size(); ++size) {
        if (size != eraBytes)
            CHECK_FALSE(decodeStoreNews(payload.substr(0, size)).has_value());
    }
}

TEST_CASE("decoding corrupted changes from the store never crashes")
{
    std::mt19937_64 random(20261206);
    StoreNews news{7, {{"members/a", "value", 412, false}, {"members/b", "", 413, true}}};
    std::string payload = encodeStoreNews(news).substr(6);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = payload.substr(0, random() % (payload.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        decodeStoreNews(damaged);
    }
}

// Guards against frames to a release that doesn't know them.
TEST_CASE("capabilities announce changes from the store separately")
{
    std::string payload = encodeCapabilities().substr(6);
    CHECK(decodeCapabilities(payload));
    CHECK(announcesStoreNews(payload));
    std::string earlierRelease("\0\0\0\1", 4);
    CHECK(decodeCapabilities(earlierRelease));
    CHECK_FALSE(announcesStoreNews(earlierRelease));
}

// Many VMs in three zones that follow one store. The heartbeats of endpoints end every watch at once, as they
// do in large deployments.
class Fleet {
public:
    static constexpr Millis storeDelay{4};
    static constexpr Millis peerDelay{1};
    static constexpr int zones = 3;

    Fleet(int vmCount, bool canShare)
        : canShare_(canShare)
    {
        for (int number = 0; number < vmCount; ++number)
            vms_.push_back(std::make_unique<Vm>(number));
        for (const std::unique_ptr<Vm>& vm : vms_)
            time_.after(Millis(vm->number % 50), [this, &vm = *vm] { scheduleTick(vm); });
    }

    // One change every 50 ms after the start-up time, for `span`.
    void run(Millis startup, Millis span)
    {
        time_.runUntil(time_.now() + startup);
        calls_ = frames_ = bytes_ = 0;
        for (Millis passed{0}; passed < span; passed += Millis(50)) {
            change();
            time_.runUntil(time_.now() + Millis(50));
        }
        double seconds = std::chrono::duration<double>(span).count() * static_cast<double>(vms_.size());
        callsPerVmAndSecond = static_cast<double>(calls_) / seconds;
        framesPerVmAndSecond = static_cast<double>(frames_) / seconds;
        bytesPerVmAndSecond = static_cast<double>(bytes_) / seconds;
        // The last changes reach every VM.
        time_.runUntil(time_.now() + Millis(3000));
        std::sort(ages_.begin(), ages_.end());
    }

    // The VM hears from no peer; `isNoticed` once its peers count as silent.
    void cutOff(int number, bool isNoticed)
    {
        vms_[static_cast<std::size_t>(number)]->isCutOff = true;
        vms_[static_cast<std::size_t>(number)]->isAlone = isNoticed;
    }

    Millis ageQuantile(double quantile) const
    {
        return ages_[static_cast<std::size_t>(quantile * static_cast<double>(ages_.size() - 1))];
    }
    std::size_t missing() const { return changes_.size() * vms_.size() - ages_.size(); }
    int repeated() const { return repeated_; }

    double callsPerVmAndSecond = 0;
    double framesPerVmAndSecond = 0;
    double bytesPerVmAndSecond = 0;
    Millis worstAgeAtCutOff{0};

private:
    struct Vm {
        explicit Vm(int index)
            : number(index)
            , zone(index % zones)
            , follower({"members/"}, "", FollowerOptions{}, ids)
            , receiver({"members/"})
            , random(static_cast<std::uint32_t>(index + 1))
        {
        }
        double fraction() { return std::uniform_real_distribution<double>(0, 1)(random); }

        int number;
        int zone;
        OpIds ids;
        StoreFollower follower;
        WatchInterval interval;
        StoreNewsReceiver receiver;
        StoreNewsSender sender;
        std::minstd_rand random;
        Instant nextUpdate;
        bool isCutOff = false;
        bool isAlone = false;
    };

    // Grows with each heartbeat of an endpoint, one a millisecond, and with each change.
    std::uint64_t revision() const
    {
        std::uint64_t byHeartbeats = static_cast<std::uint64_t>(time_.now().time_since_epoch().count()) * 10;
        return std::max(byHeartbeats, changes_.empty() ? 0 : changes_.back().revision);
    }

    void change()
    {
        changes_.push_back(
            {"members/" + std::to_string(changes_.size()), std::string(220, 'v'), revision() + 1, false});
        changedAt_[changes_.back().key] = time_.now();
    }

    void scheduleTick(Vm& vm)
    {
        time_.after(Millis(50), [this, &vm] {
            tick(vm);
            scheduleTick(vm);
        });
    }

    void tick(Vm& vm)
    {
        Instant now = time_.now();
        if (canShare_ && now >= vm.nextUpdate) {
            vm.nextUpdate = now + Millis(500);
            std::size_t readers = vm.isAlone ? 1 : (vms_.size() + zones - 1) / zones;
            if (vm.interval.update(vms_.size(), readers)) {
                vm.follower.setMinWatchInterval(vm.interval.next(vm.fraction()));
                vm.follower.watchWithin(vm.interval.base());
            }
        }
        for (const StoreOp& op : vm.follower.tick(now)) {
            StoreAnswer answer;
            answer.opId = op.id;
            answer.status = StoreStatus::Ok;
            answer.revision = revision();
            vm.follower.onAnswer(now, answer);
        }
        std::optional<WatchRequest> watch = vm.follower.takeWatch(now);
        if (watch) {
            ++calls_;
            vm.follower.setMinWatchInterval(vm.interval.next(vm.fraction()));
            time_.after(storeDelay / 2, [this, &vm, request = *watch] { answerWatch(vm, request); });
        }
        applyOwn(vm);
    }

    void answerWatch(Vm& vm, const WatchRequest& request)
    {
        WatchAnswer answer;
        answer.status = WatchStatus::Ok;
        answer.revision = revision();
        auto first = std::upper_bound(changes_.begin(), changes_.end(), request.afterRevision,
            [](std::uint64_t after, const StoreEvent& event) { return after < event.revision; });
        answer.events.assign(first, changes_.end());
        time_.after(storeDelay / 2, [this, &vm, id = request.id, answer = std::move(answer)] {
            vm.follower.onWatchAnswer(time_.now(), id, answer);
            applyOwn(vm);
        });
    }

    void applyOwn(Vm& vm)
    {
        for (const FollowerUpdate& update : vm.follower.takeUpdates()) {
            bool isAccepted
                = update.kind == FollowerUpdate::Kind::Change && vm.receiver.acceptFromStore(update.event);
            if (!isAccepted)
                continue;
            onApplied(vm, update.event);
            if (vm.interval.isShared())
                vm.sender.onOwnChange(time_.now(), update.event);
        }
        if (vm.follower.hasListed())
            vm.receiver.onPosition(vm.follower.revision());
        send(vm);
    }

    void send(Vm& vm)
    {
        std::vector<Vm*> peers;
        for (const std::unique_ptr<Vm>& peer : vms_) {
            if (peer.get() != &vm && peer->zone == vm.zone && !peer->isCutOff && !vm.isCutOff)
                peers.push_back(peer.get());
        }
        std::vector<StoreEvent> changes = vm.sender.take(time_.now(), peers.size());
        if (changes.empty())
            return;
        std::string frame = encodeStoreNews({std::nullopt, changes});
        for (Vm* peer : peers) {
            ++frames_;
            bytes_ += frame.size();
            time_.after(peerDelay, [this, peer, changes] {
                for (const StoreEvent& event : changes) {
                    peer->sender.onPeerChange(event);
                    if (peer->receiver.acceptFromPeer(std::nullopt, event))
                        onApplied(*peer, event);
                }
            });
        }
    }

    void onApplied(const Vm& vm, const StoreEvent& event)
    {
        if (!applied_.emplace(vm.number, event.key).second)
            ++repeated_;
        Millis age = time_.now() - changedAt_.at(event.key);
        ages_.push_back(age);
        if (vm.isCutOff)
            worstAgeAtCutOff = std::max(worstAgeAtCutOff, age);
    }

    bool canShare_;
    protocol::VirtualTime time_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::vector<StoreEvent> changes_;
    std::map<std::string, Instant> changedAt_;
    std::set<std::pair<int, std::string>> applied_;
    std::vector<Millis> ages_;
    int repeated_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t frames_ = 0;
    std::uint64_t bytes_ = 0;
};

constexpr Millis startup{6000};
constexpr Millis span{10000};

void report(int vmCount, const std::string& kind, const Fleet& fleet)
{
    MESSAGE(vmCount, " VMs, ", kind, ": ", fleet.callsPerVmAndSecond, " watches/s, ",
        fleet.framesPerVmAndSecond, " frames/s, ", fleet.bytesPerVmAndSecond,
        " bytes/s for each VM; age of a fact p50 ", fleet.ageQuantile(0.5).count(), " p99 ",
        fleet.ageQuantile(0.99).count(), " worst ", fleet.ageQuantile(1).count(), " ms");
}

// Guards against sharing that makes facts older than reading alone, or saves too few calls.
TEST_CASE("VMs of large deployments read a third as often and know changes as early")
{
    for (int vmCount : {82, 300}) {
        Fleet alone(vmCount, false);
        alone.run(startup, span);
        Fleet shared(vmCount, true);
        shared.run(startup, span);
        report(vmCount, "each alone", alone);
        report(vmCount, "shared", shared);
        CHECK(shared.callsPerVmAndSecond * 3 <= alone.callsPerVmAndSecond);
        CHECK(shared.ageQuantile(0.5) <= alone.ageQuantile(0.5));
        CHECK(shared.ageQuantile(0.99) <= alone.ageQuantile(0.99));
        // Rare long pauses between reads at random phases; the shortest bound is 2,500 ms.
        CHECK(shared.ageQuantile(1) <= Millis(1000));
        CHECK(shared.missing() == 0);
        CHECK(shared.repeated() == 0);
        // A link of 10 Mbit/s; 20 changes a second are a busy hour of a deployment.
        CHECK(shared.bytesPerVmAndSecond <= StoreNewsSender::bytesPerSecond / 5);
    }
}

// Guards against a changed behaviour of small deployments.
TEST_CASE("8 VMs read as before and send each other no changes")
{
    Fleet alone(8, false);
    alone.run(startup, span);
    Fleet shared(8, true);
    shared.run(startup, span);
    report(8, "shared", shared);
    CHECK(shared.framesPerVmAndSecond == 0);
    CHECK(shared.callsPerVmAndSecond == alone.callsPerVmAndSecond);
    CHECK(shared.ageQuantile(1) == alone.ageQuantile(1));
    CHECK(shared.missing() == 0);
}

// Guards against late facts at a VM whose links to all peers have failed: its own watch has to suffice.
TEST_CASE("a VM that hears from no peer knows changes by its own watch")
{
    // 2,500 ms is the shortest bound on the age of a fact.
    for (bool isNoticed : {false, true}) {
        Millis longestAge = isNoticed ? Millis(600) : Millis(2300);
        Fleet fleet(82, true);
        fleet.cutOff(5, isNoticed);
        fleet.run(startup, span);
        MESSAGE("worst age of a fact at a VM without peers: ", fleet.worstAgeAtCutOff.count(), " ms");
        CHECK(fleet.worstAgeAtCutOff > Millis(0));
        CHECK(fleet.worstAgeAtCutOff <= longestAge);
        CHECK(fleet.missing() == 0);
    }
}

} // namespace
} // namespace ragwortwinch
