#include "ragwortwinch/allowance/team_allowance.h"
#include "testing/protocol/virtual_time.h"

#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <random>

namespace ragwortwinch {
namespace {

constexpr QuotaRule rule{Millis(8000), 0.1, 120000};
const TeamLimit largeLimit{2244759, 2244759, LimitUnit::Tokens, 0};
const TeamLimit smallLimit{29000, 29000, LimitUnit::Tokens, 0};
// Between two news of a VM, and on their way between regions.
constexpr Millis newsInterval{200};
constexpr Millis newsDelay{20};
constexpr Millis step{10};
constexpr const char* team = "t1";

double allowedIn(const TeamLimit& limit)
{
    return (limit.perSecond * 8 + limit.burst) * (1 + rule.overshoot) + rule.slack;
}

// VMs that exchange news in virtual time, and the callers of one team.
class Fleet {
public:
    enum class Decision { Shared, EqualParts };

    Fleet(std::size_t vms, const TeamLimit& limit, Decision decision = Decision::Shared)
        : limit_(limit)
        , decision_(decision)
        , vms_(vms)
        , weights_(vms, 1)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            vms_[vm].name = "vm" + std::to_string(vm);
            restart(vm);
            time_.after(newsInterval * vm / vms, [this, vm] { sendNews(vm); });
        }
        time_.after(step, [this] { ask(); });
    }

    // Asks for `rate` tokens a second, at VMs in proportion to `weights`.
    void setDemand(double rate) { rate_ = rate; }
    void setWeights(std::vector<double> weights) { weights_ = std::move(weights); }
    void setLimit(std::size_t vm, const std::optional<TeamLimit>& limit)
    {
        vms_[vm].limit = limit;
        applyLimit(vm);
    }
    void setLimit(const TeamLimit& limit)
    {
        limit_ = limit;
        for (std::size_t vm = 0; vm < vms_.size(); ++vm)
            setLimit(vm, limit);
    }
    // VMs hear only those of their own group.
    void setGroup(std::size_t vm, int group) { vms_[vm].group = group; }
    void setAlive(std::size_t vm, bool isAlive) { vms_[vm].isAlive = isAlive; }
    void restart(std::size_t vm)
    {
        Vm& entry = vms_[vm];
        entry.isAlive = true;
        entry.incarnation = ++incarnations_;
        entry.allowance = std::make_unique<TeamAllowance>(rule, time_.now());
        if (!entry.limit)
            entry.limit = limit_;
        applyLimit(vm);
        entry.allowance->setVmCount(vmsOfDecision(), time_.now());
    }

    void run(Millis duration) { time_.runUntil(time_.now() + duration); }

    void startCount()
    {
        asked_ = admitted_ = worst_ = inWindow_ = 0;
        window_.clear();
    }
    double asked() const { return asked_; }
    double admitted() const { return admitted_; }
    // The greatest sum in any window since `startCount`.
    double worstWindow() const { return worst_; }
    double admittedPart() const { return admitted_ / asked_; }
    // `worstWindow` as a part of what the rule allows.
    double usedOfRule() const { return worst_ / allowedIn(limit_); }
    const std::vector<Millis>& retryTimes() const { return retryTimes_; }

private:
    struct Vm {
        std::string name;
        std::unique_ptr<TeamAllowance> allowance;
        std::uint64_t incarnation = 0;
        int group = 0;
        bool isAlive = true;
        std::optional<TeamLimit> limit;
    };

    std::size_t vmsOfDecision() const { return decision_ == Decision::Shared ? vms_.size() : 1; }

    void applyLimit(std::size_t vm)
    {
        std::map<std::string, TeamLimit> limits;
        if (vms_[vm].limit) {
            TeamLimit limit = *vms_[vm].limit;
            if (decision_ == Decision::EqualParts) {
                limit.perSecond /= static_cast<double>(vms_.size());
                limit.burst /= static_cast<double>(vms_.size());
            }
            limits[team] = limit;
        }
        vms_[vm].allowance->setTeams(limits, time_.now());
    }

    void sendNews(std::size_t from)
    {
        time_.after(newsInterval, [this, from] { sendNews(from); });
        Vm& sender = vms_[from];
        if (!sender.isAlive)
            return;
        Instant now = time_.now();
        sender.allowance->setVmCount(vmsOfDecision(), now);
        if (decision_ == Decision::EqualParts)
            return;
        std::vector<TeamDemand> reports = sender.allowance->takeReports(now);
        time_.after(newsDelay,
            [this, from, group = sender.group, incarnation = sender.incarnation,
                reports = std::move(reports)] {
                for (std::size_t to = 0; to < vms_.size(); ++to) {
                    if (to == from || !vms_[to].isAlive || vms_[to].group != group)
                        continue;
                    vms_[to].allowance->onHeard(vms_[from].name, time_.now());
                    vms_[to].allowance->onReports(vms_[from].name, incarnation, reports, time_.now());
                }
            });
    }

    void ask()
    {
        time_.after(step, [this] { ask(); });
        Instant now = time_.now();
        while (!window_.empty() && window_.front().first <= now - rule.window) {
            inWindow_ -= window_.front().second;
            window_.pop_front();
        }
        double perStep = rate_ * static_cast<double>(step.count()) / 1000 / meanCost_;
        int requests = std::poisson_distribution<int>(std::max(perStep, 1e-9))(random_);
        std::discrete_distribution<std::size_t> choose(weights_.begin(), weights_.end());
        for (int request = 0; request < requests; ++request) {
            double cost = std::uniform_real_distribution<double>(7000, 11000)(random_);
            Vm& vm = vms_[choose(random_)];
            asked_ += cost;
            if (!vm.isAlive)
                continue;
            AdmissionDecision decision = vm.allowance->admit(team, cost, now);
            if (!decision.isAdmitted) {
                retryTimes_.push_back(decision.retryAfter);
                continue;
            }
            admitted_ += cost;
            window_.emplace_back(now, cost);
            inWindow_ += cost;
            worst_ = std::max(worst_, inWindow_);
        }
    }

    protocol::VirtualTime time_;
    TeamLimit limit_;
    Decision decision_;
    std::vector<Vm> vms_;
    std::vector<double> weights_;
    std::mt19937 random_{1};
    double meanCost_ = 9000;
    double rate_ = 0;
    std::uint64_t incarnations_ = 0;
    double asked_ = 0;
    double admitted_ = 0;
    double worst_ = 0;
    double inWindow_ = 0;
    std::deque<std::pair<Instant, double>> window_;
    std::vector<Millis> retryTimes_;
};

std::vector<double> onlyFirst(std::size_t vms)
{
    std::vector<double> weights(vms, 0);
    weights[0] = 1;
    return weights;
}

struct Scenario {
    std::size_t vms;
    TeamLimit limit;
    const char* name;
};

const std::vector<Scenario> scenarios{{8, largeLimit, "large"}, {78, largeLimit, "large"},
    {300, largeLimit, "large"}, {8, smallLimit, "small"}, {78, smallLimit, "small"},
    {300, smallLimit, "small"}};

} // namespace

// Guards against limits that are exceeded while the VMs don't know yet what the others admit.
TEST_CASE("a team that suddenly asks for 7.5 times its limit at all VMs stays within the rule")
{
    for (const Scenario& scenario : scenarios) {
        CAPTURE(scenario.vms);
        CAPTURE(scenario.name);
        for (double before : {0.0, 0.5, 1.0}) {
            CAPTURE(before);
            Fleet fleet(scenario.vms, scenario.limit);
            fleet.setDemand(scenario.limit.perSecond * before);
            fleet.run(Millis(10000));
            fleet.setDemand(scenario.limit.perSecond * 7.5);
            fleet.run(Millis(10000));
            MESSAGE("surge ", scenario.name, " vms=", scenario.vms, " before=", before,
                " used=", fleet.usedOfRule());
            CHECK(fleet.usedOfRule() <= 1);
        }
    }
}

// Guards against the refusal of tokens to which a team is entitled.
TEST_CASE("a team below its limit is refused next to nothing, wherever its callers are")
{
    for (const Scenario& scenario : scenarios) {
        CAPTURE(scenario.vms);
        CAPTURE(scenario.name);
        for (bool isOneVm : {false, true}) {
            CAPTURE(isOneVm);
            for (Fleet::Decision decision : {Fleet::Decision::Shared, Fleet::Decision::EqualParts}) {
                Fleet fleet(scenario.vms, scenario.limit, decision);
                fleet.setDemand(scenario.limit.perSecond * 0.8);
                if (isOneVm)
                    fleet.setWeights(onlyFirst(scenario.vms));
                fleet.run(Millis(10000));
                fleet.startCount();
                fleet.run(Millis(20000));
                bool isShared = decision == Fleet::Decision::Shared;
                MESSAGE("below ", scenario.name, " vms=", scenario.vms, " one=", isOneVm,
                    isShared ? " shared" : " equal", " admitted=", fleet.admittedPart(),
                    " used=", fleet.usedOfRule());
                if (isShared) {
                    CHECK(fleet.admittedPart() >= 0.99);
                    CHECK(fleet.usedOfRule() <= 1);
                }
            }
        }
    }
}

} // namespace ragwortwinch
