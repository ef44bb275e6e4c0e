// A `TeamAllowance` for several threads: requests are admitted on one, peers' reports arrive on another.
//
//     LockedTeamAllowance allowance(rule, "vm1", clock.now());
//     AdmissionDecision decision = allowance.locked()->admit("t1", 9000, now);
//
// Hold the lock for one expression only. Thread-safe.
#pragma once

#include "ragwortwinch/allowance/team_allowance.h"

#include <mutex>

namespace ragwortwinch {

class LockedTeamAllowance {
public:
    class Access {
    public:
        Access(std::mutex& mutex, TeamAllowance& allowance)
            : lock_(mutex)
            , allowance_(allowance)
        {
        }
        TeamAllowance* operator->() const { return &allowance_; }

    private:
        std::unique_lock<std::mutex> lock_;
        TeamAllowance& allowance_;
    };

    LockedTeamAllowance(const QuotaRule& rule, std::string self, Instant startedAt)
        : allowance_(rule, std::move(self), startedAt)
    {
    }
    Access locked() { return {mutex_, allowance_}; }

private:
    std::mutex mutex_;
    TeamAllowance allowance_;
};

} // namespace ragwortwinch
