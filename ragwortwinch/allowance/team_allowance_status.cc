// What operators see of the limits of teams: totals, spells of refusals and the busiest teams.
#include "ragwortwinch/allowance/team_allowance.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// A team without refusals for this long is within its limit again.
constexpr Millis spellEnd{5000};

} // namespace

AllowanceTotals TeamAllowance::totals() const
{
    AllowanceTotals totals = totals_;
    totals.limitedTeams = buckets_.size();
    for (const auto& [team, bucket] : buckets_)
        totals.allocation += share(bucket) * bucket.limit.perSecond;
    return totals;
}

AllowanceStatus TeamAllowance::statusOf(const std::string& team, Bucket& bucket, Instant now) const
{
    fill(bucket, now);
    decayDemand(bucket, now);
    return {team, bucket.limit.perSecond, bucket.limit.burst, bucket.limit.unit, bucket.demand,
        bucket.peerDemand, bucket.level, share(bucket) * refillRate(bucket, now)};
}

std::vector<OverLimitSpell> TeamAllowance::takeSpells(Instant now)
{
    std::vector<OverLimitSpell> spells;
    for (auto& [team, bucket] : buckets_) {
        if (!bucket.overLimitSince)
            continue;
        bool hasEnded = now - bucket.refusedAt >= spellEnd;
        if (bucket.isSpellTold && !hasEnded)
            continue;
        spells.push_back({statusOf(team, bucket, now), bucket.refusedCost,
            bucket.refusedAt - *bucket.overLimitSince, hasEnded});
        bucket.isSpellTold = !hasEnded;
        if (hasEnded) {
            bucket.overLimitSince.reset();
            bucket.refusedCost = 0;
        }
    }
    return spells;
}

std::vector<AllowanceStatus> TeamAllowance::status(Instant now, std::size_t most)
{
    std::vector<AllowanceStatus> teams;
    for (auto& [team, bucket] : buckets_)
        teams.push_back(statusOf(team, bucket, now));
    auto isBusier = [](const AllowanceStatus& left, const AllowanceStatus& right) {
        double leftDemand = left.ownDemand + left.peerDemand;
        double rightDemand = right.ownDemand + right.peerDemand;
        return leftDemand != rightDemand ? leftDemand > rightDemand : left.team < right.team;
    };
    std::sort(teams.begin(), teams.end(), isBusier);
    if (teams.size() > most)
        teams.resize(most);
    return teams;
}

} // namespace ragwortwinch
