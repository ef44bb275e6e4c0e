#include "ragwortwinch/placement/endpoint_limit.h"

#include "testing/protocol/virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

namespace ragwortwinch {
namespace {

using protocol::VirtualTime;

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

TEST_CASE("the parts of all VMs add up to the limit, or to a trickle if it is lower")
{
    for (std::size_t count : {1, 2, 8, 195}) {
        std::set<std::string> vms;
        for (std::size_t number = 0; number < count; ++number)
            vms.insert("vm" + std::to_string(number));
        for (double perSecond : {0.0, 0.5, 3.0, 7.9, 60.0, 1000.0}) {
            double sum = 0;
            for (const std::string& vm : vms)
                sum += requestLimitPart("e1", perSecond, vm, vms);
            CHECK(sum == doctest::Approx(std::max(perSecond, 0.25)));
        }
    }
    CHECK(requestLimitPart("e1", 5, "vm0", {}) == 0);
}

TEST_CASE("an endpoint that names a limit gets this VM's part, without a burst at first")
{
    EndpointLimit limit;
    CHECK(limit.mayTake(at(0)));
    limit.onReply(at(0), 4.0);
    CHECK(limit.needsPart());
    CHECK_FALSE(limit.mayTake(at(0)));
    limit.setPart(at(100), 2);
    CHECK_FALSE(limit.mayTake(at(500)));
    CHECK(limit.mayTake(at(600)));
    limit.take(at(600));
    CHECK_FALSE(limit.mayTake(at(1000)));
    CHECK(limit.mayTake(at(1100)));
    // No more than one request is saved up.
    limit.take(at(9000));
    CHECK_FALSE(limit.mayTake(at(9001)));
    limit.onReply(at(9100), 1.0);
    CHECK(limit.needsPart());
}

TEST_CASE("a limit ends with several replies without it, and a newer observation of a peer wins")
{
    EndpointLimit limit;
    limit.onReply(at(0), 4.0);
    for (int millis : {500, 600, 700, 800})
        limit.onReply(at(millis), std::nullopt);
    CHECK(limit.isLimited());
    limit.onReply(at(1000), std::nullopt);
    CHECK_FALSE(limit.isLimited());
    REQUIRE(limit.ownObservation());
    CHECK_FALSE(limit.ownObservation()->perSecond);
    limit.onPeerObservation({5.0, at(900)});
    CHECK_FALSE(limit.isLimited());
    limit.onPeerObservation({5.0, at(1100)});
    CHECK(limit.perSecond() == 5);
    limit.onPeerObservation({std::nullopt, at(1200)});
    CHECK(limit.mayTake(at(1200)));
    // A reply that overtook others names no limit.
    limit.onReply(at(1300), 5.0);
    limit.onReply(at(1301), std::nullopt);
    CHECK(limit.isLimited());
}

// VMs that send as much as they may to one endpoint, in virtual time. VMs start, restart, freeze, and are cut
// off from their peers.
class LimitedFleet {
public:
    LimitedFleet(std::size_t vms, double perSecond, double demand, bool hasFaults, std::uint64_t seed)
        : perSecond_(perSecond)
        , demand_(demand)
        , random_(seed)
        , vms_(vms)
    {
        for (std::size_t number = 0; number < vms; ++number) {
            allVms_.insert(name(number));
            time_.after(delay(0, 200), [this, number] { beat(number); });
            time_.after(delay(0, 100), [this, number] { sweep(number); });
            arrive(number);
        }
        if (hasFaults)
            harmVm();
        time_.runUntil(time_.now() + length);
    }

    // Most requests in a window from VMs that had passed on a reply with the limit half a second before, and
    // had no fault within the contact time.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto first = counted_.begin(); first != counted_.end(); ++first)
            most = std::max(most,
                static_cast<std::size_t>(std::count_if(
                    first, counted_.end(), [&](Instant sent) { return sent < *first + window; })));
        return most;
    }
    double allowed() const { return 1.5 * perSecond_ * 4 + 5; }
    // Requests a second in the second half.
    double rate() const
    {
        Instant half = begin + length / 2;
        std::ptrdiff_t sent = std::count_if(
            counted_.begin(), counted_.end(), [half](Instant sentAt) { return sentAt >= half; });
        return static_cast<double>(sent) / (static_cast<double>((length / 2).count()) / 1000);
    }

private:
    static constexpr Instant begin{Millis(1000000)};
    static constexpr Millis length{40000};
    static constexpr Millis window{4000};
    static constexpr Millis contactTime{4000};
    static constexpr Millis toldTime{500};
    static constexpr Millis limitAfter{2000};

    struct Vm {
        EndpointLimit limit;
        int generation = 0;
        bool isDown = false;
        bool isCut = false;
        Instant toldAt{Millis(1000000000)};
        Instant lastFault;
    };

    static std::string name(std::size_t number) { return "vm" + std::to_string(number); }
    Millis delay(int least, int most)
    {
        return Millis(std::uniform_int_distribution<int>(least, most)(random_));
    }

    void arrive(std::size_t number)
    {
        double perVm = demand_ / static_cast<double>(vms_.size());
        time_.after(Millis(static_cast<int>(std::exponential_distribution<>(perVm)(random_) * 1000) + 1),
            [this, number] {
                arrive(number);
                send(number);
            });
    }

    void send(std::size_t number)
    {
        Vm& vm = vms_[number];
        Instant now = time_.now();
        if (vm.isDown || !vm.limit.mayTake(now))
            return;
        vm.limit.take(now);
        bool isCounted = now > begin + limitAfter + contactTime && now - vm.lastFault > contactTime
            && now >= vm.toldAt + toldTime;
        if (isCounted)
            counted_.push_back(now);
        int generation = vm.generation;
        time_.after(delay(20, 300), [this, number, generation] {
            Vm& sender = vms_[number];
            if (sender.generation != generation || sender.isDown)
                return;
            bool isNamed = time_.now() > begin + limitAfter;
            sender.limit.onReply(time_.now(), isNamed ? std::optional<double>(perSecond_) : std::nullopt);
            if (isNamed)
                sender.toldAt = std::min(sender.toldAt, time_.now());
        });
    }

    void sweep(std::size_t number)
    {
        time_.after(Millis(100), [this, number] { sweep(number); });
        Vm& vm = vms_[number];
        if (vm.limit.needsPart())
            vm.limit.setPart(
                time_.now(), requestLimitPart("e1", vm.limit.perSecond(), name(number), allVms_));
    }

    void beat(std::size_t number)
    {
        time_.after(Millis(200), [this, number] { beat(number); });
        const Vm& sender = vms_[number];
        if (sender.isDown || sender.isCut || !sender.limit.ownObservation())
            return;
        RequestLimitObservation observation = *sender.limit.ownObservation();
        Millis transit = delay(1, 25);
        time_.after(transit, [this, number, observation, transit] {
            for (std::size_t other = 0; other < vms_.size(); ++other) {
                if (other != number && !vms_[other].isDown && !vms_[other].isCut)
                    vms_[other].limit.onPeerObservation({observation.perSecond, observation.at + transit});
            }
        });
    }

    void harmVm()
    {
        time_.after(delay(300, 2000), [this] { harmVm(); });
        Vm& vm = vms_[random_() % vms_.size()];
        if (vm.isDown || vm.isCut)
            return;
        Millis duration = delay(500, 5000);
        vm.lastFault = time_.now() + duration;
        bool isCut = random_() % 3 == 0;
        bool isRestart = random_() % 2 == 0;
        (isCut ? vm.isCut : vm.isDown) = true;
        time_.after(duration, [&vm, isCut, isRestart] {
            vm.isDown = false;
            vm.isCut = false;
            if (isCut || !isRestart)
                return;
            ++vm.generation;
            vm.limit = EndpointLimit();
        });
    }

    double perSecond_;
    double demand_;
    std::mt19937_64 random_;
    VirtualTime time_;
    std::vector<Vm> vms_;
    std::set<std::string> allVms_;
    std::vector<Instant> counted_;
};

TEST_CASE(
    "an endpoint gets no more than the operators allow, from fleets of any size and beside faults of VMs")
{
    for (std::size_t vms : {8, 195}) {
        for (double perSecond : {0.5, 3.0, 7.9, 40.0}) {
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                CAPTURE(vms);
                CAPTURE(perSecond);
                CAPTURE(seed);
                bool hasFaults = seed > 2;
                LimitedFleet fleet(vms, perSecond, 200, hasFaults, seed);
                CHECK(static_cast<double>(fleet.mostInWindow()) <= fleet.allowed());
                // The endpoint stays in use.
                if (!hasFaults)
                    CHECK(fleet.rate() >= perSecond / 4);
                if (seed == 1)
                    MESSAGE("VMs ", vms, ", limit ", perSecond, "/s: most in a window ", fleet.mostInWindow(),
                        ", allowed ", fleet.allowed(), ", rate ", fleet.rate());
            }
        }
    }
}

} // namespace
} // namespace ragwortwinch
