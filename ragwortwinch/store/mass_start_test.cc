// All VMs of a large deployment start at the same moment and list the store in pages.
#include "ragwortwinch/store/store_follower.h"
#include "testing/protocol/virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>

namespace ragwortwinch {
namespace {

constexpr int vmCount = 300;
constexpr int endpointPages = 6;
constexpr Millis pageDelay{4};
// The store accepts 6,000 reads a second, and a tenth of a second's at once.
constexpr double readsPerMillisecond = 6;
constexpr double readsAtOnce = 600;

class MassStart {
public:
    explicit MassStart(bool keepsPages)
        : keepsPages_(keepsPages)
    {
        for (int number = 0; number < vmCount; ++number) {
            vms_.push_back(std::make_unique<Vm>(number));
            scheduleTick(*vms_.back());
        }
    }

    // Returns when the last VM had all lists.
    Millis run(Millis limit)
    {
        Instant start = time_.now();
        while (doneCount_ < vmCount && time_.now() - start < limit)
            time_.runUntil(time_.now() + Millis(10));
        return time_.now() - start;
    }

    int doneCount() const { return doneCount_; }
    int refused() const { return refused_; }
    int brokenLists() const { return brokenLists_; }

private:
    struct Vm {
        explicit Vm(int number)
            : follower({"quarantine/", "config/", "members/", "vm/"}, "", FollowerOptions{}, ids)
            , random(static_cast<std::uint32_t>(number + 1))
        {
        }
        OpIds ids;
        StoreFollower follower;
        std::minstd_rand random;
        bool isDone = false;
    };

    void scheduleTick(Vm& vm)
    {
        time_.after(Millis(50), [this, &vm] {
            vm.follower.setRetryDelay(
                Millis(500 + std::uniform_int_distribution<int>(0, keepsPages_ ? 250 : 0)(vm.random)));
            run(vm, vm.follower.tick(time_.now()));
            if (!vm.isDone)
                scheduleTick(vm);
        });
    }

    void run(Vm& vm, const StoreOps& ops)
    {
        for (const StoreOp& op : ops) {
            StoreAnswer answer;
            answer.opId = op.id;
            int page = op.after.empty() ? 0 : std::stoi(op.after.substr(op.key.size())) + 1;
            readPage(vm, op.key, page, std::move(answer));
        }
    }

    void readPage(Vm& vm, const std::string& prefix, int page, StoreAnswer answer)
    {
        time_.after(pageDelay, [this, &vm, prefix, page, answer = std::move(answer)]() mutable {
            double passed = static_cast<double>((time_.now() - availableAt_).count());
            available_ = std::min(readsAtOnce, available_ + passed * readsPerMillisecond);
            availableAt_ = time_.now();
            int pages = prefix == "members/" ? endpointPages : 1;
            if (available_ < 1) {
                ++refused_;
                answer.status = StoreStatus::Unavailable;
                if (!keepsPages_)
                    answer.entries.clear();
                finish(vm, answer);
                return;
            }
            available_ -= 1;
            answer.status = StoreStatus::Ok;
            answer.revision = 7;
            // One entry stands for those of a page.
            answer.entries.push_back({prefix + std::to_string(page), "v", 5});
            if (page + 1 < pages)
                readPage(vm, prefix, page + 1, std::move(answer));
            else
                finish(vm, answer);
        });
    }

    void finish(Vm& vm, const StoreAnswer& answer)
    {
        run(vm, vm.follower.onAnswer(time_.now(), answer));
        for (const FollowerUpdate& update : vm.follower.takeUpdates()) {
            std::size_t pages = update.prefix == "members/" ? endpointPages : 1;
            bool isList = update.kind == FollowerUpdate::Kind::List;
            brokenLists_ += isList && update.entries.size() != pages ? 1 : 0;
        }
        if (vm.follower.hasListed() && !vm.isDone) {
            vm.isDone = true;
            ++doneCount_;
        }
    }

    bool keepsPages_;
    protocol::VirtualTime time_;
    std::vector<std::unique_ptr<Vm>> vms_;
    double available_ = readsAtOnce;
    Instant availableAt_ = time_.now();
    int doneCount_ = 0;
    int refused_ = 0;
    int brokenLists_ = 0;
};

// Guards against lists that start over after a refused page: the VMs then refuse each other the pages that
// they have read already.
TEST_CASE("300 VMs that start together have listed the store within seconds")
{
    constexpr Millis limit{60000};
    MassStart startingOver(false);
    Millis before = startingOver.run(limit);
    MassStart resuming(true);
    Millis now = resuming.run(limit);
    MESSAGE("last VM has all lists after ", now.count(), " ms, ", resuming.refused(),
        " pages refused; with lists that start over ", before.count(), " ms (", startingOver.doneCount(),
        " VMs), ", startingOver.refused(), " refused");
    CHECK(resuming.doneCount() == vmCount);
    CHECK(resuming.brokenLists() == 0);
    CHECK(now <= Millis(3000));
}

} // namespace
} // namespace ragwortwinch
