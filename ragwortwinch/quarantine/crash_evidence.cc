#include "ragwortwinch/quarantine/crash_evidence.h"

#include <algorithm>

namespace ragwortwinch {

void CrashEvidence::onCrash(const std::string& reporter, const EndpointCrash& crash)
{
    Crash& known
        = crashes_.try_emplace({crash.endpoint, crash.incarnation}, Crash{crash.lostAt, {}}).first->second;
    known.lostAt = std::min(known.lostAt, crash.lostAt);
    known.byReporter[reporter] = {crash.lostAt, crash.requests};
    if (crashes_.size() <= maxCrashes)
        return;
    auto oldest = std::min_element(crashes_.begin(), crashes_.end(),
        [](const std::pair<const CrashKey, Crash>& left, const std::pair<const CrashKey, Crash>& right) {
            return left.second.lostAt < right.second.lostAt;
        });
    crashes_.erase(oldest);
}

void CrashEvidence::onAnswered(TraitId part, Instant at)
{
    Instant& known = answeredAt_.try_emplace(part, Instant::min()).first->second;
    known = std::max(known, at);
    if (answeredAt_.size() <= maxAnsweredParts)
        return;
    auto oldest = std::min_element(answeredAt_.begin(), answeredAt_.end(),
        [](const std::pair<const TraitId, Instant>& left, const std::pair<const TraitId, Instant>& right) {
            return left.second < right.second;
        });
    answeredAt_.erase(oldest);
}

void CrashEvidence::disregard(TraitId part, Instant at) { disregardedUntil_[part] = at; }

void CrashEvidence::expire(Instant now)
{
    std::erase_if(crashes_, [now](const std::pair<const CrashKey, Crash>& entry) {
        return now - entry.second.lostAt > retention;
    });
    for (std::map<TraitId, Instant>* times : {&answeredAt_, &disregardedUntil_})
        std::erase_if(*times,
            [now](const std::pair<const TraitId, Instant>& entry) { return now - entry.second > retention; });
}

Instant CrashEvidence::answeredAt(TraitId part) const
{
    auto found = answeredAt_.find(part);
    return found == answeredAt_.end() ? Instant::min() : found->second;
}

std::set<TraitId> CrashEvidence::involvedParts() const
{
    std::set<TraitId> result;
    for (const auto& [key, crash] : crashes_) {
        for (const auto& [reporter, report] : crash.byReporter) {
            for (const CrashedRequest& prompt : report.requests)
                result.insert(prompt.traits.begin(), prompt.traits.end());
        }
    }
    return result;
}

CrashEvidence::Involvements CrashEvidence::suspicions() const
{
    Involvements result;
    for (const auto& [key, crash] : crashes_) {
        for (const auto& [reporter, report] : crash.byReporter) {
            for (const CrashedRequest& prompt : report.requests) {
                for (TraitId part : std::set<TraitId>(prompt.traits.begin(), prompt.traits.end())) {
                    auto disregarded = disregardedUntil_.find(part);
                    bool isDisregarded
                        = disregarded != disregardedUntil_.end() && disregarded->second >= crash.lostAt;
                    if (isDisregarded || answeredAt(part) >= crash.lostAt)
                        continue;
                    Involvement& involvement
                        = result[part]
                              .try_emplace(key, Involvement{crash.lostAt, prompt.sentAt, 0, {}})
                              .first->second;
                    involvement.sentAt = std::max(involvement.sentAt, prompt.sentAt);
                    Involvement::Sight& sight
                        = involvement.byReporter
                              .try_emplace(reporter, Involvement::Sight{prompt.sentAt, report.lostAt})
                              .first->second;
                    sight.sentAt = std::max(sight.sentAt, prompt.sentAt);
                    ++involvement.requests;
                }
            }
        }
    }
    return result;
}

bool CrashEvidence::follows(const Involvement& former, const Involvement& later)
{
    if (later.sentAt > former.lostAt + orderTolerance)
        return true;
    // One VM knows the order of what it saw itself, such as of a crash and the retry after it.
    for (const auto& [reporter, sight] : later.byReporter) {
        auto before = former.byReporter.find(reporter);
        if (before != former.byReporter.end() && sight.sentAt >= before->second.lostAt)
            return true;
    }
    return false;
}

double CrashEvidence::harm(TraitId part, const std::map<CrashKey, Involvement>& crashes) const
{
    std::vector<Involvement> inOrder;
    int requests = 0;
    for (const auto& [key, involvement] : crashes) {
        inOrder.push_back(involvement);
        requests += involvement.requests;
    }
    std::sort(inOrder.begin(), inOrder.end(),
        [](const Involvement& left, const Involvement& right) { return left.lostAt < right.lostAt; });
    int successive = 0;
    const Involvement* last = nullptr;
    for (const Involvement& involvement : inOrder) {
        if (last && !follows(*last, involvement))
            continue;
        ++successive;
        last = &involvement;
    }
    int required = answeredAt(part) == Instant::min() ? harmfulCrashes : harmfulCrashesOfProvenPart;
    int total = static_cast<int>(inOrder.size());
    bool isHarmful
        = successive >= required || (successive >= 2 && total >= required + extraConcurrentCrashes);
    return isHarmful ? static_cast<double>(successive) * total / requests : 0;
}

CrashCauses CrashEvidence::causes() const
{
    CrashCauses result;
    Involvements unexplained = suspicions();
    while (true) {
        TraitId worst = 0;
        double worstHarm = 0;
        for (const auto& [part, crashes] : unexplained) {
            double partHarm = harm(part, crashes);
            if (partHarm > worstHarm) {
                worst = part;
                worstHarm = partHarm;
            }
        }
        if (worstHarm == 0)
            break;
        result.harmful.push_back(worst);
        std::map<CrashKey, Involvement> explained = unexplained[worst];
        for (auto entry = unexplained.begin(); entry != unexplained.end();) {
            for (const auto& [key, involvement] : explained)
                entry->second.erase(key);
            entry = entry->second.empty() ? unexplained.erase(entry) : std::next(entry);
        }
    }
    for (const auto& [part, crashes] : unexplained)
        result.unclear.insert(part);
    return result;
}

std::set<TraitId> CrashEvidence::suspectedParts() const
{
    std::set<TraitId> result;
    for (const auto& [part, crashes] : suspicions())
        result.insert(part);
    return result;
}

} // namespace ragwortwinch
