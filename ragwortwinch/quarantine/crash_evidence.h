// Infers from crashes of endpoints which traits of requests cause them: prompt parts, or whole requests.
//
//     CrashEvidence evidence;
//     evidence.onCrash("cnx-1", crash);             // as seen by this VM or reported by a peer
//     evidence.onAnswered(part, answeredAt);        // a request with this trait was answered completely
//     for (TraitId part : evidence.causes().harmful) ...
//
// Below, a part is either. A harmful one crashes every endpoint that answers a request with it. So a part is
// suspected of the crashes since a request with it was last answered, and it counts how many of them followed
// one another: each at a request that was sent after the crash before it. Endpoints that crash together for
// another reason count as one. Of the suspects, the one that explains most with the fewest requests is found
// harmful first; crashes that it explains count for no other part.
//
// All VMs reach the same result from the same reports. Not thread-safe.
#pragma once

#include "ragwortwinch/quarantine/endpoint_crash.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

struct CrashCauses {
    // The most harmful part first.
    std::vector<TraitId> harmful;
    // Other parts with crashes that none of the harmful ones explains; too few to call them harmful.
    std::set<TraitId> unclear;
};

class CrashEvidence {
public:
    // Successive crashes that make a part harmful: enough that an engine's chance crash and that of a retry
    // don't suffice.
    static constexpr int harmfulCrashes = 3;
    // The same for a part that prompts were answered with earlier.
    static constexpr int harmfulCrashesOfProvenPart = 5;
    // So many more crashes make a part harmful even if only two of them followed one another.
    static constexpr int extraConcurrentCrashes = 2;
    // A prompt follows a crash that another VM saw if it was sent this long after it: reports from other VMs
    // are off by their time in transit, and VMs notice a crash one after the other.
    static constexpr Millis orderTolerance{100};
    static constexpr Millis retention{10 * 60 * 1000};
    static constexpr std::size_t maxCrashes = 256;
    // Limit on the proven parts that are remembered.
    static constexpr std::size_t maxAnsweredParts = 4096;

    // Replaces what `reporter` reported about the same crash before.
    void onCrash(const std::string& reporter, const EndpointCrash& crash);
    void onAnswered(TraitId part, Instant at);
    // Crashes up to `at` no longer count for the part.
    void disregard(TraitId part, Instant at);
    // Forgets what is older than `retention`.
    void expire(Instant now);

    CrashCauses causes() const;
    // Parts of prompts in crashes after which no prompt with the part was answered. News of an answer matters
    // for these only.
    std::set<TraitId> suspectedParts() const;
    // When a prompt with the part was last answered; Instant::min() if that is not known.
    Instant answeredAt(TraitId part) const;
    // Parts of prompts in any crash that is remembered.
    std::set<TraitId> involvedParts() const;
    std::size_t crashCount() const { return crashes_.size(); }

private:
    struct Report {
        // When the reporter lost the endpoint.
        Instant lostAt;
        std::vector<CrashedRequest> requests;
    };
    struct Crash {
        Instant lostAt;
        std::map<std::string, Report> byReporter;
    };
    // How a part was involved in one crash.
    struct Involvement {
        Instant lostAt;
        // When the latest of its prompts was sent.
        Instant sentAt;
        int requests = 0;
        // The same by reporter, and when that one lost the endpoint.
        struct Sight {
            Instant sentAt;
            Instant lostAt;
        };
        std::map<std::string, Sight> byReporter;
    };
    // Endpoint and incarnation.
    using CrashKey = std::pair<std::string, std::int64_t>;
    using Involvements = std::map<TraitId, std::map<CrashKey, Involvement>>;

    // Whether the crash came from a request that was sent after the one before.
    static bool follows(const Involvement& former, const Involvement& later);
    // Leaves out crashes that don't count for a part.
    Involvements suspicions() const;
    // Returns how harmful the part is by the crashes, or 0 if they don't suffice.
    double harm(TraitId part, const std::map<CrashKey, Involvement>& crashes) const;

    std::map<CrashKey, Crash> crashes_;
    std::map<TraitId, Instant> answeredAt_;
    std::map<TraitId, Instant> disregardedUntil_;
};

} // namespace ragwortwinch
