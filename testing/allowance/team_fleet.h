// VMs that keep the limit of one team together in virtual time, with the team's callers, for tests of
// TeamAllowance.
//
//     TeamFleet fleet(78, largeLimit);
#pragma once

#include "ragwortwinch/allowance/team_allowance.h"
#include "testing/protocol/virtual_time.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch::testing {

inline constexpr QuotaRule rule{Millis(8000), 0.1, 120000};
inline const TeamLimit largeLimit{2244759, 2244759, LimitUnit::Tokens, 0};
inline const TeamLimit smallLimit{29000, 29000, LimitUnit::Tokens, 0};
// Between two news of a VM, and on their way between regions.
inline constexpr Millis newsInterval{200};
inline constexpr Millis newsDelay{20};
inline constexpr Millis step{10};
inline constexpr const char* team = "t1";
inline constexpr double surge = 7.5;

// Which VMs are cut off from the others.
enum class Cut { None, One, Half, All };

inline double allowedIn(const TeamLimit& limit)
{
    return (limit.perSecond * 8 + limit.burst) * (1 + rule.overshoot) + rule.slack;
}

// VMs that exchange news in virtual time, and the callers of one team.
class TeamFleet {
public:
    // The decision of this package, and the alternatives that docs/design/team-limits.md weighs.
    enum class Decision {
        Shared,
        EqualParts,
        // One VM decides for all, without the time of the way to it and without failures.
        HomeVm,
    };

    TeamFleet(std::size_t vms, const TeamLimit& limit, Decision decision = Decision::Shared)
        : limit_(limit)
        , decision_(decision)
        , vms_(vms)
        , weights_(vms, 1)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            vms_[vm].name = "vm" + std::to_string(vm);
            vms_[vm].limit = limit;
            start(vm, time_.now() - Millis(60000));
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
    void removeLimit(std::size_t vm) { setLimit(vm, std::nullopt); }
    void cut(Cut cut)
    {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            bool isFirst = cut == Cut::One ? vm == 0 : vm < vms_.size() / 2;
            vms_[vm].group = cut == Cut::None ? 0 : cut == Cut::All ? static_cast<int>(vm) : isFirst;
        }
    }
    TeamAllowance& allowance(std::size_t vm) { return *vms_[vm].allowance; }
    Instant now() const { return time_.now(); }
    void restart(std::size_t vm) { start(vm, time_.now()); }

    void run(Millis duration) { time_.runUntil(time_.now() + duration); }

    // Lets the bucket fill after an overload, then counts below the limit: the team must not stay refused.
    void recover(const TeamLimit& limit)
    {
        setDemand(limit.perSecond * 0.4);
        run(Millis(9000));
        setDemand(limit.perSecond * 0.8);
        startCount();
        run(Millis(3000));
    }

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

private:
    struct Vm {
        std::string name;
        std::unique_ptr<TeamAllowance> allowance;
        std::uint64_t incarnation = 0;
        int group = 0;
        std::optional<TeamLimit> limit;
    };

    std::size_t vmsOfDecision() const { return decision_ == Decision::Shared ? vms_.size() : 1; }

    void start(std::size_t vm, Instant startedAt)
    {
        Vm& entry = vms_[vm];
        entry.incarnation = ++incarnations_;
        QuotaRule ownRule = rule;
        if (decision_ == Decision::EqualParts)
            ownRule.slack /= static_cast<double>(vms_.size());
        entry.allowance = std::make_unique<TeamAllowance>(ownRule, entry.name, startedAt);
        applyLimit(vm);
        entry.allowance->setVmCount(vmsOfDecision(), time_.now());
    }

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
        Instant now = time_.now();
        sender.allowance->setVmCount(vmsOfDecision(), now);
        if (decision_ != Decision::Shared)
            return;
        std::vector<TeamDemand> reports = sender.allowance->takeReports(now);
        time_.after(newsDelay,
            [this, from, group = sender.group, incarnation = sender.incarnation,
                reports = std::move(reports)] {
                for (std::size_t to = 0; to < vms_.size(); ++to) {
                    if (to == from || vms_[to].group != group)
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
            std::size_t asked = choose(random_);
            Vm& vm = vms_[decision_ == Decision::HomeVm ? 0 : asked];
            asked_ += cost;
            AdmissionDecision decision = vm.allowance->admit(team, cost, now);
            if (!decision.isAdmitted)
                continue;
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
};

} // namespace ragwortwinch::testing
