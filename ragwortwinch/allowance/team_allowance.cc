#include "ragwortwinch/allowance/team_allowance.h"

#include <algorithm>
#include <cmath>

namespace ragwortwinch {

namespace {

// Part of the rule's slack that is added to the bucket. A team with a small limit and few requests a second
// is irregular: without it, it is refused requests although it stays below its limit.
constexpr double slackInCapacity = 0.4;
// A bucket that holds this part of its capacity is open to all. A team that starts to ask for 7.5 times its
// limit then owes less than the margin of a rule with an overshoot of 0.1 before the peers know it.
constexpr double openLevel = 0.75;
// A team may suddenly ask for this many times its limit.
constexpr double surgeFactor = 8;
// The part of the margin that a surge may use up before the peers' reports arrive.
constexpr double surgePart = 0.6;
// A greater request than the bucket holds is admitted by a full one if it exceeds the bucket by at most this
// part of the margin.
constexpr double oversizePart = 0.5;
// Shorter times let the shares of all VMs rise at once when a team starts to ask at all of them.
constexpr double demandSeconds = 1;
// Teams without demand for this long are not reported, and their peers' demand is forgotten.
constexpr Millis reportTime{2000};
// Counts of idle peers are kept for longer than the peers keep them, so a count that is missing began at 0.
constexpr Millis ownCountTime{30000};
constexpr Millis peerCountTime{60000};
// A report without news is repeated at this interval, and at once if the demand has risen by this factor. At
// 300 VMs most teams have no request between two reports of a VM.
constexpr Millis reportRefresh{600};
constexpr double toldDemandRise = 1.25;
constexpr Millis expiryInterval{500};
constexpr Millis spentStep{50};
constexpr Millis minRetryAfter{20};
// A VM that rarely has its turn in an overload may have a share again by then.
constexpr Millis maxTurnWait{5000};

double seconds(Millis time) { return static_cast<double>(time.count()) / 1000; }

std::int64_t rounded(double value) { return static_cast<std::int64_t>(std::llround(value)); }

// A number from 0 to 1 that is as good as random, from SplitMix64.
double turnNumber(std::uint64_t seed, std::uint64_t turn)
{
    std::uint64_t mixed = seed + (turn + 1) * 0x9E3779B97F4A7C15U;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBU;
    mixed ^= mixed >> 31;
    return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

std::int64_t stepOf(Instant at) { return at.time_since_epoch() / spentStep; }

} // namespace

double TeamAllowance::margin(const TeamLimit& limit) const
{
    return (limit.perSecond * seconds(rule_.window) + limit.burst) * rule_.overshoot + rule_.slack;
}

double TeamAllowance::capacity(const TeamLimit& limit) const
{
    return limit.burst + rule_.slack * slackInCapacity;
}

double TeamAllowance::heardPart(Instant now) const
{
    if (vms_ == 0)
        return 0;
    std::size_t heard = now - countedAt_ > silenceLimit ? 1 : std::clamp<std::size_t>(heard_, 1, vms_);
    return static_cast<double>(heard) / static_cast<double>(vms_);
}

void TeamAllowance::fill(Bucket& bucket, Instant now) const
{
    double part = heardPart(now);
    double full = capacity(bucket.limit) * part;
    double elapsed = std::max(0.0, seconds(now - bucket.filledAt));
    bucket.filledAt = std::max(bucket.filledAt, now);
    if (part < bucket.heardPart && bucket.level > 0) {
        // The peers that aren't heard have the same level and may spend their part of it.
        double kept = bucket.level * part / bucket.heardPart;
        bucket.withheld += bucket.level - kept;
        bucket.level = kept;
    } else if (part > bucket.heardPart) {
        double returned = bucket.withheld * (part - bucket.heardPart) / (1 - bucket.heardPart);
        bucket.withheld -= returned;
        bucket.level += returned;
    }
    bucket.heardPart = part;
    bucket.level = std::min(full, bucket.level + bucket.limit.perSecond * part * elapsed);
}

void TeamAllowance::take(Bucket& bucket, double cost) const
{
    // A greater debt comes from a limit that other VMs don't know yet, and would refuse the team for long.
    double floor = -std::max(margin(bucket.limit), capacity(bucket.limit));
    bucket.level = std::max(std::min(floor, bucket.level), bucket.level - cost);
}

void TeamAllowance::decayDemand(Bucket& bucket, Instant now)
{
    if (now <= bucket.demandAt)
        return;
    bucket.demand *= std::exp(-seconds(now - bucket.demandAt) / demandSeconds);
    bucket.demandAt = now;
}

void TeamAllowance::setTeams(const std::map<std::string, TeamLimit>& limits, Instant now)
{
    std::erase_if(buckets_,
        [&](const std::pair<const std::string, Bucket>& entry) { return !limits.contains(entry.first); });
    for (const auto& [team, limit] : limits) {
        auto [found, isNew] = buckets_.try_emplace(team);
        Bucket& bucket = found->second;
        if (isNew) {
            bucket.limit = limit;
            bucket.filledAt = bucket.demandAt = now;
            bucket.countedSince = now.time_since_epoch().count();
            bucket.turnSeed = std::hash<std::string>()(self_ + '/' + team);
            bucket.askedAt = bucket.demandAt - ownCountTime;
            // Until then, an earlier process may have spent the limit.
            bucket.level = now - startedAt_ >= rule_.window ? capacity(limit) : 0;
            continue;
        }
        if (bucket.limit == limit)
            continue;
        fill(bucket, now);
        bucket.limit = limit;
        double full = capacity(limit);
        bucket.withheld = 0;
        bucket.level = std::clamp(bucket.level, -std::max(margin(limit), full), full);
    }
}

std::size_t TeamAllowance::peerIndex(const std::string& peer, Instant now)
{
    auto [found, isNew] = peerIndexes_.try_emplace(peer, peers_.size());
    if (isNew)
        peers_.push_back({now});
    return found->second;
}

void TeamAllowance::onHeard(const std::string& name, Instant now)
{
    Peer& peer = peers_[peerIndex(name, now)];
    if (now - peer.heardAt > silenceLimit) {
        peer.silence = now - peer.heardAt;
        peer.silenceEnd = now;
    }
    peer.heardAt = now;
    heardAt_ = now;
}

Millis TeamAllowance::silenceSince(std::size_t index, Instant reportedAt, Instant now) const
{
    const Peer& peer = peers_[index];
    return peer.silenceEnd > reportedAt ? std::min(peer.silence, now - reportedAt) : Millis(0);
}

void TeamAllowance::setVmCount(std::size_t vms, Instant now)
{
    countedAt_ = now;
    vms_ = vms;
    heard_ = 1
        + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
            [now](const Peer& peer) { return now - peer.heardAt <= silenceLimit; }));
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + expiryInterval;
    for (auto& [team, bucket] : buckets_)
        expirePeers(bucket, now);
}

void TeamAllowance::expirePeers(Bucket& bucket, Instant now)
{
    bucket.peerDemand = 0;
    for (PeerUse& peer : bucket.peers) {
        if (!peer.isKnown)
            continue;
        if (now - peer.at > peerCountTime)
            peer = PeerUse();
        else if (now - peer.at > reportTime)
            peer.perSecond = 0;
        bucket.peerDemand += peer.perSecond;
    }
    if (now - bucket.askedAt > ownCountTime) {
        bucket.admitted = 0;
        bucket.countedSince = now.time_since_epoch().count();
    }
}

double TeamAllowance::unseen(const Bucket& bucket, Instant now) const
{
    // Peers that aren't heard hardly hear this VM.
    std::int64_t first = stepOf(std::min(now, heardAt_) - blindTime);
    double cost = 0;
    for (const Spent& spent : bucket.spent)
        cost += spent.step >= first ? spent.cost : 0;
    return cost;
}

double TeamAllowance::share(const Bucket& bucket) const
{
    // Demand that isn't reported yet: without it, each VM would take the whole when a team starts.
    double expected = bucket.limit.perSecond;
    double own = bucket.demand + expected / static_cast<double>(std::max<std::size_t>(vms_, 1));
    double all = bucket.demand + bucket.peerDemand + expected;
    return all > 0 ? std::min(1.0, own / all) : 1;
}

Millis TeamAllowance::waitFor(const Bucket& bucket, double cost, Instant now) const
{
    double full = capacity(bucket.limit) * heardPart(now);
    double oversize = margin(bucket.limit) * oversizePart * heardPart(now);
    double needed = cost > full && cost - full <= oversize ? full : cost;
    double rate = refillRate(bucket, now);
    auto untilLevel = [&](double level) {
        double missing = level - bucket.level;
        return missing <= 0 ? Millis(0)
                            : std::max(minRetryAfter, Millis(rounded(std::ceil(missing / rate * 1000))));
    };
    if (rate <= 0 || needed > full)
        return Millis::max();
    if (bucket.level < needed)
        return untilLevel(needed);
    double demand = bucket.demand + bucket.peerDemand;
    double surge = std::max(demand, bucket.limit.perSecond * surgeFactor) * seconds(blindTime);
    bool isOpen = surge <= margin(bucket.limit) * surgePart || bucket.level >= full * openLevel;
    if (vms_ <= 1 || isOpen)
        return Millis(0);
    double spent = unseen(bucket, now);
    // What flows in until the peers know of this request may be spent as well.
    double inflow = rate * seconds(blindTime);
    if (spent + cost <= share(bucket) * (bucket.level + spent + inflow))
        return Millis(0);
    if (spent > 0)
        return std::max(minRetryAfter, blindTime);
    // All VMs could do the same, as far as they are asked.
    double all = std::min(demand * seconds(blindTime), cost * static_cast<double>(vms_));
    double chance = all > 0 ? (bucket.level + inflow) / all : 1;
    std::int64_t turn = now.time_since_epoch() / blindTime;
    if (turnNumber(bucket.turnSeed, static_cast<std::uint64_t>(turn)) < chance)
        return Millis(0);
    return std::min(maxTurnWait, Millis(rounded(static_cast<double>(blindTime.count()) / chance)));
}

AdmissionDecision TeamAllowance::admit(std::string_view team, double cost, Instant now)
{
    auto found = buckets_.find(std::string(team));
    if (found == buckets_.end())
        return {};
    Bucket& bucket = found->second;
    fill(bucket, now);
    decayDemand(bucket, now);
    // A request that exceeds the limit for good must not raise this VM's share.
    bool canFit = cost <= capacity(bucket.limit) + margin(bucket.limit) * oversizePart;
    if (canFit)
        bucket.demand += cost / demandSeconds;
    bucket.askedAt = now;
    Millis wait = waitFor(bucket, cost, now);
    if (wait.count() > 0) {
        if (!bucket.overLimitSince)
            bucket.overLimitSince = now;
        bucket.refusedAt = now;
        bucket.refusedCost += cost;
        totals_.refusedCost += cost;
        ++totals_.refusedRequests;
        if (wait < Millis::max())
            return {false, wait};
        // This VM lacks contact with its peers, or the request exceeds the limit for good.
        return {false, canFit ? silenceLimit : Millis(0)};
    }
    take(bucket, cost);
    bucket.admitted += cost;
    std::int64_t step = stepOf(now);
    Spent& spent = bucket.spent[static_cast<std::size_t>(step) % bucket.spent.size()];
    if (spent.step != step)
        spent = {step, 0};
    spent.cost += cost;
    totals_.admittedCost += cost;
    ++totals_.admittedRequests;
    return {};
}

void TeamAllowance::refund(std::string_view team, double cost, Instant now)
{
    auto found = buckets_.find(std::string(team));
    if (found == buckets_.end())
        return;
    Bucket& bucket = found->second;
    fill(bucket, now);
    bucket.level = std::min(capacity(bucket.limit) * heardPart(now), bucket.level + cost);
    bucket.admitted -= cost;
    totals_.refundedCost += cost;
}

std::vector<TeamDemand> TeamAllowance::takeReports(Instant now)
{
    std::vector<TeamDemand> reports;
    for (auto& [team, bucket] : buckets_) {
        if (now - bucket.askedAt > reportTime)
            continue;
        fill(bucket, now);
        decayDemand(bucket, now);
        std::int64_t admitted = std::max<std::int64_t>(0, rounded(bucket.admitted));
        bool isSame = admitted == bucket.toldAdmitted && bucket.demand <= bucket.toldDemand * toldDemandRise;
        if (isSame && bucket.toldAt != Instant::min() && now - bucket.toldAt < reportRefresh)
            continue;
        bucket.toldAdmitted = admitted;
        bucket.toldDemand = bucket.demand;
        bucket.toldAt = now;
        reports.push_back(
            {team, bucket.countedSince, admitted, rounded(bucket.demand), rounded(bucket.level)});
    }
    return reports;
}

void TeamAllowance::onReports(
    const std::string& peer, std::uint64_t incarnation, const std::vector<TeamDemand>& reports, Instant now)
{
    std::size_t index = peerIndex(peer, now);
    bool isYoung = now - startedAt_ < rule_.window;
    for (const TeamDemand& report : reports) {
        auto found = buckets_.find(report.team);
        if (found == buckets_.end())
            continue;
        Bucket& bucket = found->second;
        if (bucket.peers.size() <= index)
            bucket.peers.resize(index + 1);
        PeerUse& use = bucket.peers[index];
        bool isSameCount
            = use.isKnown && use.incarnation == incarnation && use.countedSince == report.countedSince;
        double spent = 0;
        if (isSameCount)
            spent = static_cast<double>(report.admitted - use.admitted);
        else if (!isYoung)
            spent = static_cast<double>(report.admitted);
        else
            // Most of a long count is in the reported level. What the peer has admitted in the last second
            // may not be in the levels that other peers report.
            spent = static_cast<double>(std::min(report.admitted, report.perSecond));
        // While the peer wasn't heard, its part of the limit was left to it.
        Millis silence = use.isKnown ? silenceSince(index, use.at, now) : Millis(0);
        if (isSameCount && spent > 0 && vms_ > 0)
            spent = std::max(
                0.0, spent - bucket.limit.perSecond * seconds(silence) / static_cast<double>(vms_));
        fill(bucket, now);
        if (spent > 0)
            take(bucket, spent);
        else
            bucket.level = std::min(capacity(bucket.limit) * heardPart(now), bucket.level - spent);
        // A bucket that began empty doesn't know what the team owes. The report is up to `blindTime` old.
        if (isYoung && !isSameCount) {
            double refilled = bucket.limit.perSecond * seconds(blindTime);
            bucket.level = std::min(bucket.level, static_cast<double>(report.level) + refilled);
        }
        bucket.peerDemand += static_cast<double>(report.perSecond) - use.perSecond;
        use = {report.countedSince, report.admitted, static_cast<double>(report.perSecond), now, incarnation,
            true};
    }
}

} // namespace ragwortwinch
