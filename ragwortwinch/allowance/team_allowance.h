// Decides on one VM whether a request fits into its team's limit, which all VMs keep together.
//
//     TeamAllowance allowance(rule, "vm1", startedAt);
//     allowance.setTeams({{"t1", limit}}, now);
//     allowance.onHeard("vm2", now);                         // with each heartbeat of a peer
//     allowance.setVmCount(78, now);
//     AdmissionDecision decision = allowance.admit("t1", 9000, now);
//     allowance.refund("t1", 9000, now);                     // the request has certainly not run
//     std::vector<TeamDemand> reports = allowance.takeReports(now);
//     allowance.onReports("vm2", incarnation, reports, now);
//
// Every VM keeps its own copy of one token bucket for each team. It takes out what it admits itself at once,
// and what the peers admit when they report it, so a bucket is wrong at most by what the peers have admitted
// since their reports, and errors don't add up. What a bucket owes is paid back by its refill.
//
// Load: a team that asks for several times its limit at all VMs at once. Between two reports all VMs could
// spend the same tokens, so a VM whose bucket runs low spends only its share of it, which follows the demand.
// Where a share is smaller than a request, VMs take turns, as many at once as the bucket holds requests.
// A VM that doesn't hear some of its peers uses the corresponding part of the limit only; what the peers do
// with theirs it can't see. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/traffic_config.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

// In no window may a team's requests cost more than (`perSecond` x window + `burst`) x (1 + `overshoot`) +
// `slack`.
struct QuotaRule {
    Millis window{8000};
    double overshoot = 0;
    double slack = 0;
};

// A team's use of its limit at one VM, as the VM reports it to its peers.
struct TeamDemand {
    std::string team;
    // When the sender began to count what it admits, on its own clock: identifies the count.
    std::int64_t countedSince = 0;
    // Cost admitted since then, less what was refunded.
    std::int64_t admitted = 0;
    // Cost asked for per second, admitted or not.
    std::int64_t perSecond = 0;
    // What the sender's bucket holds; negative if it owes.
    std::int64_t level = 0;

    bool operator==(const TeamDemand&) const = default;
};

struct AdmissionDecision {
    bool isAdmitted = true;
    // For refusals: when the request could be admitted; zero if never.
    Millis retryAfter{0};
};

struct AllowanceTotals {
    double admittedCost = 0;
    double refundedCost = 0;
    double refusedCost = 0;
    std::uint64_t admittedRequests = 0;
    std::uint64_t refusedRequests = 0;
    std::size_t limitedTeams = 0;
    // Cost per second that this VM may admit now, over all teams: its shares of their limits.
    double allocation = 0;
};

struct AllowanceStatus {
    std::string team;
    double perSecond = 0;
    double burst = 0;
    LimitUnit unit = LimitUnit::Requests;
    // Cost asked for per second at this VM, and reported by the peers.
    double ownDemand = 0;
    double peerDemand = 0;
    double level = 0;
    double allocation = 0;
};

// A time in which requests of a team were refused, when it begins and when it has ended.
struct OverLimitSpell {
    AllowanceStatus status;
    double refusedCost = 0;
    Millis duration{0};
    bool hasEnded = false;
};

class TeamAllowance {
public:
    TeamAllowance(const QuotaRule& rule, std::string self, Instant startedAt)
        : rule_(rule)
        , self_(std::move(self))
        , startedAt_(startedAt)
    {
    }

    // Replaces the limits of all teams. Teams that aren't named have none.
    void setTeams(const std::map<std::string, TeamLimit>& limits, Instant now);
    // The greatest number of VMs known of late, with this one. Call it at least every `silenceLimit`: without
    // it, this VM takes itself for cut off.
    void setVmCount(std::size_t vms, Instant now);
    // Says that a peer's heartbeat has arrived. Call it before `onReports` for reports of the same message.
    void onHeard(const std::string& peer, Instant now);
    AdmissionDecision admit(std::string_view team, double cost, Instant now);
    void refund(std::string_view team, double cost, Instant now);

    // Returns the teams with recent demand at this VM of which something has changed, and the others at
    // times.
    std::vector<TeamDemand> takeReports(Instant now);
    void onReports(
        const std::string& peer, std::uint64_t incarnation, const std::vector<TeamDemand>&, Instant now);

    AllowanceTotals totals() const;
    // Returns the spells that have begun or ended since the last call.
    std::vector<OverLimitSpell> takeSpells(Instant now);
    // Returns the teams with the greatest demand, at most `most`.
    std::vector<AllowanceStatus> status(Instant now, std::size_t most);

    // News go out every 200 ms; a VM that misses two of them in a row is silent.
    static constexpr Millis silenceLimit{500};
    // After this time all peers know what this VM has admitted: the interval of news and their way.
    static constexpr Millis blindTime{250};

private:
    struct Peer {
        Instant heardAt;
        // The last time for which it wasn't heard, longer than `silenceLimit`.
        Millis silence{0};
        Instant silenceEnd = Instant::min();
    };
    struct PeerUse {
        std::int64_t countedSince = 0;
        std::int64_t admitted = 0;
        double perSecond = 0;
        Instant at;
        std::uint64_t incarnation = 0;
        bool isKnown = false;
    };
    // Cost admitted in one step of time.
    struct Spent {
        std::int64_t step = 0;
        double cost = 0;
    };
    struct Bucket {
        TeamLimit limit;
        double level = 0;
        // What was taken out when the capacity was reduced for lack of contact; comes back with the contact.
        double withheld = 0;
        // The part of the limit that the bucket was last filled for.
        double heardPart = 0;
        Instant filledAt;
        std::int64_t countedSince = 0;
        double admitted = 0;
        // Moving average of the cost asked for per second.
        double demand = 0;
        Instant demandAt;
        Instant askedAt;
        std::array<Spent, 16> spent{};
        // Differs between VMs and teams.
        std::uint64_t turnSeed = 0;
        // What was last reported, and when.
        std::int64_t toldAdmitted = 0;
        double toldDemand = 0;
        Instant toldAt = Instant::min();
        // Set from the first refusal until none has come for some time.
        std::optional<Instant> overLimitSince;
        bool isSpellTold = false;
        Instant refusedAt;
        double refusedCost = 0;
        // By index of the peer.
        std::vector<PeerUse> peers;
        double peerDemand = 0;
    };

    AllowanceStatus statusOf(const std::string& team, Bucket& bucket, Instant now) const;
    double margin(const TeamLimit& limit) const;
    double capacity(const TeamLimit& limit) const;
    // The part of the limit that this VM and the peers that it hears may use.
    double heardPart(Instant now) const;
    double refillRate(const Bucket& bucket, Instant now) const
    {
        return bucket.limit.perSecond * heardPart(now);
    }
    void fill(Bucket& bucket, Instant now) const;
    void take(Bucket& bucket, double cost) const;
    static void decayDemand(Bucket& bucket, Instant now);
    static void expirePeers(Bucket& bucket, Instant now);
    std::size_t peerIndex(const std::string& peer, Instant now);
    // How long this VM didn't hear the peer since its last report on a bucket.
    Millis silenceSince(std::size_t peer, Instant reportedAt, Instant now) const;
    // Returns what this VM has admitted of late and the peers may not know.
    double unseen(const Bucket& bucket, Instant now) const;
    double share(const Bucket& bucket) const;
    // Returns how long to wait until the bucket lets a request of this cost through; zero: now.
    Millis waitFor(const Bucket& bucket, double cost, Instant now) const;

    QuotaRule rule_;
    std::string self_;
    Instant startedAt_;
    Instant countedAt_;
    std::size_t vms_ = 0;
    // When the last heartbeat of any peer arrived.
    Instant heardAt_;
    // Those of which something was heard within `silenceLimit`, with this one.
    std::size_t heard_ = 0;
    std::unordered_map<std::string, Bucket> buckets_;
    std::unordered_map<std::string, std::size_t> peerIndexes_;
    std::vector<Peer> peers_;
    Instant nextExpiry_;
    AllowanceTotals totals_;
};

} // namespace ragwortwinch
