#include "ragwortwinch/quarantine/request_quarantine.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/rendezvous_rank.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace ragwortwinch {

namespace {

// Delay after the store gave no answer or refused.
constexpr Millis retryInterval{1000};
// All VMs reach a decision by themselves, so only this many tell it to peers that lack evidence.
constexpr std::size_t announcingVms = 3;

std::string keyOf(TraitId part) { return quarantineKeyPrefix + partIdText(part); }

std::optional<TraitId> partOfKey(std::string_view key)
{
    std::string_view prefix(quarantineKeyPrefix);
    return key.starts_with(prefix) ? parsePartId(key.substr(prefix.size())) : std::nullopt;
}

} // namespace

RequestQuarantine::RequestQuarantine(std::string self, OpIds& ids)
    : self_(std::move(self))
    , ids_(ids)
{
}

void RequestQuarantine::onCrash(Instant now, const EndpointCrash& crash, bool isConfirmed)
{
    if (isConfirmed) {
        addOwnCrash(crash);
        return;
    }
    if (unconfirmed_.size() == maxUnconfirmedCrashes)
        unconfirmed_.erase(unconfirmed_.begin());
    unconfirmed_.push_back({now + confirmationTime, crash});
    confirmCrashes(now);
}

void RequestQuarantine::onEndpoints(Instant now, std::set<std::pair<std::string, std::int64_t>> registered)
{
    registered_ = std::move(registered);
    confirmCrashes(now);
}

void RequestQuarantine::confirmCrashes(Instant now)
{
    std::vector<UnconfirmedCrash> left;
    for (UnconfirmedCrash& entry : unconfirmed_) {
        if (!registered_.contains({entry.crash.endpoint, entry.crash.incarnation}))
            addOwnCrash(entry.crash);
        else if (now < entry.until)
            left.push_back(std::move(entry));
    }
    unconfirmed_ = std::move(left);
}

void RequestQuarantine::addOwnCrash(const EndpointCrash& crash)
{
    auto [entry, isNew] = ownCrashes_.try_emplace({crash.endpoint, crash.incarnation}, crash);
    EndpointCrash& known = entry->second;
    if (!isNew) {
        known.lostAt = std::min(known.lostAt, crash.lostAt);
        std::size_t room = maxNewsItems - std::min(maxNewsItems, known.requests.size());
        known.requests.insert(known.requests.end(), crash.requests.begin(),
            crash.requests.begin() + static_cast<std::ptrdiff_t>(std::min(room, crash.requests.size())));
    }
    evidence_.onCrash(self_, known);
    news_.crashes.push_back(known);
    if (ownCrashes_.size() > CrashEvidence::maxCrashes)
        ownCrashes_.erase(std::min_element(ownCrashes_.begin(), ownCrashes_.end(),
            [](const auto& left, const auto& right) { return left.second.lostAt < right.second.lostAt; }));
    isEvidenceChanged_ = true;
    LogEvent("endpoint.crashed", Severity::Warning)
        .with("endpoint", crash.endpoint)
        .with("incarnation", crash.incarnation)
        .with("prompts", crash.requests.size())
        .with("known_crashes", evidence_.crashCount());
}

void RequestQuarantine::onAnswered(Instant now, TraitId part, Instant at)
{
    Instant known = evidence_.answeredAt(part);
    bool isNews = known == Instant::min() || (suspectedParts_.contains(part) && at > known);
    if (!isNews)
        return;
    evidence_.onAnswered(part, at);
    news_.answeredAt[part] = at;
    isEvidenceChanged_ = true;
    auto entry = entries_.find(part);
    if (entry != entries_.end() && at >= entry->second.since)
        release(now, part, Announcement::ToPeers, "answered");
}

void RequestQuarantine::onNews(Instant now, const std::string& peer, const QuarantineNews& news)
{
    for (const EndpointCrash& crash : news.crashes)
        evidence_.onCrash(peer, crash);
    for (const auto& [part, at] : news.answeredAt) {
        evidence_.onAnswered(part, at);
        auto entry = entries_.find(part);
        if (entry != entries_.end() && at >= entry->second.since)
            release(now, part, Announcement::None, "answered");
    }
    for (TraitId part : news.released) {
        if (entries_.contains(part))
            release(now, part, Announcement::None, "released by a peer");
    }
    for (const auto& [part, until] : news.quarantinedUntil)
        add(now, part, std::min(until, now + duration), /*isOwnDecision=*/false);
    isEvidenceChanged_ = true;
}

void RequestQuarantine::onStoreList(Instant now, const std::vector<StoreEntry>& entries)
{
    std::set<TraitId> stored;
    for (const StoreEntry& entry : entries) {
        onStoreEntry(now, entry.key);
        if (std::optional<TraitId> part = partOfKey(entry.key))
            stored.insert(*part);
    }
    std::vector<TraitId> missing;
    for (const auto& [part, entry] : entries_) {
        if (entry.isStored && !stored.contains(part))
            missing.push_back(part);
    }
    for (TraitId part : missing)
        release(now, part, Announcement::None, "removed from the store");
}

void RequestQuarantine::onStoreEntry(Instant now, const std::string& key)
{
    std::optional<TraitId> part = partOfKey(key);
    if (!part) {
        LogEvent("quarantine.unreadable_key", Severity::Warning).with("key", key);
        return;
    }
    add(now, *part, now + duration, /*isOwnDecision=*/false);
    auto entry = entries_.find(*part);
    if (entry != entries_.end())
        entry->second.isStored = true;
    auto write = pendingWrites_.find(*part);
    if (write != pendingWrites_.end() && !write->second.isRemoval)
        pendingWrites_.erase(write);
}

void RequestQuarantine::onStoreRemoval(Instant now, const std::string& key)
{
    std::optional<TraitId> part = partOfKey(key);
    if (!part)
        return;
    pendingWrites_.erase(*part);
    auto entry = entries_.find(*part);
    if (entry == entries_.end() || !entry->second.isStored)
        return;
    entry->second.isStored = false;
    release(now, *part, Announcement::None, "removed from the store");
}

void RequestQuarantine::add(Instant now, TraitId part, Instant until, bool isOwnDecision)
{
    auto found = entries_.find(part);
    if (found != entries_.end()) {
        found->second.isOwnDecision |= isOwnDecision;
        found->second.until = std::max(found->second.until, until);
        return;
    }
    if (until <= now)
        return;
    if (entries_.size() == maxParts) {
        LogEvent("quarantine.full", Severity::Warning).with("part", partIdText(part)).with("parts", maxParts);
        return;
    }
    entries_[part] = Entry{now, until, isOwnDecision, false};
    pendingWrites_[part] = {now, /*isRemoval=*/false};
    isChanged_ = true;
    LogEvent("quarantine.part_added", Severity::Warning)
        .with("part", partIdText(part))
        .with("source", isOwnDecision ? "evidence" : "peer or store")
        .with("known_crashes", evidence_.crashCount())
        .with("for_ms", (until - now).count());
}

void RequestQuarantine::release(Instant now, TraitId part, Announcement announcement, const char* reason)
{
    bool isStored = entries_[part].isStored;
    entries_.erase(part);
    pendingWrites_.erase(part);
    if (isStored)
        pendingWrites_[part] = {now, /*isRemoval=*/true};
    // The crashes so far must not put it into quarantine again.
    evidence_.disregard(part, now);
    isEvidenceChanged_ = true;
    news_.quarantinedUntil.erase(part);
    if (announcement == Announcement::ToPeers)
        news_.released.insert(part);
    isChanged_ = true;
    LogEvent("quarantine.part_released").with("part", partIdText(part)).with("reason", reason);
}

void RequestQuarantine::decide(Instant now, const std::set<std::string>& livePeers)
{
    CrashCauses causes = evidence_.causes();
    for (TraitId part : causes.harmful) {
        auto known = entries_.find(part);
        bool isNew = known == entries_.end();
        add(now, part, isNew ? now + duration : known->second.until, /*isOwnDecision=*/true);
        auto entry = entries_.find(part);
        if (isNew && entry != entries_.end() && rendezvousRank(keyOf(part), self_, livePeers) < announcingVms)
            news_.quarantinedUntil[part] = entry->second.until;
    }
    // A part whose crashes are all explained otherwise, or were before an answer that was heard of late.
    std::set<TraitId> involved = evidence_.involvedParts();
    std::set<TraitId> harmful(causes.harmful.begin(), causes.harmful.end());
    std::vector<TraitId> cleared;
    for (const auto& [part, entry] : entries_) {
        bool isCleared = involved.contains(part) && !harmful.contains(part) && !causes.unclear.contains(part);
        if (entry.isOwnDecision && isCleared)
            cleared.push_back(part);
    }
    for (TraitId part : cleared)
        release(now, part, Announcement::ToPeers, "its crashes have another cause");
    std::set<TraitId> suspected = evidence_.suspectedParts();
    if (suspected != suspectedParts_) {
        suspectedParts_ = std::move(suspected);
        isChanged_ = true;
    }
}

StoreOps RequestQuarantine::tick(Instant now, const std::set<std::string>& livePeers)
{
    std::vector<TraitId> ended;
    for (const auto& [part, entry] : entries_) {
        if (now >= entry.until)
            ended.push_back(part);
    }
    for (TraitId part : ended)
        release(now, part, Announcement::None, "its time is over");
    if (isEvidenceChanged_) {
        isEvidenceChanged_ = false;
        evidence_.expire(now);
        std::erase_if(ownCrashes_,
            [now](const std::pair<const std::pair<std::string, std::int64_t>, EndpointCrash>& entry) {
                return now - entry.second.lostAt > CrashEvidence::retention;
            });
        decide(now, livePeers);
    }
    return writeNext(now, livePeers);
}

StoreOps RequestQuarantine::writeNext(Instant now, const std::set<std::string>& livePeers)
{
    if (pendingOp_ != 0 || now < nextWrite_)
        return {};
    for (const auto& [part, write] : pendingWrites_) {
        std::size_t rank = rendezvousRank(keyOf(part), self_, livePeers);
        if (now < write.since + writeDelay * rank)
            continue;
        pendingOp_ = ids_.next();
        pendingPart_ = part;
        isPendingRemoval_ = write.isRemoval;
        if (write.isRemoval) {
            StoreOp op = StoreOp::remove(pendingOp_, keyOf(part), 0);
            op.expectedRevision.reset();
            return {std::move(op)};
        }
        return {StoreOp::put(pendingOp_, keyOf(part), Json({{"added_by", self_}}).dump(), 0, duration)};
    }
    return {};
}

StoreOps RequestQuarantine::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    // A conflict means that another VM has written the key, and a missing key that another one has removed
    // it.
    bool isDone = answer.isOk()
        || answer.status == (isPendingRemoval_ ? StoreStatus::NotFound : StoreStatus::Conflict);
    if (!isDone) {
        nextWrite_ = now + retryInterval;
        return {};
    }
    auto write = pendingWrites_.find(pendingPart_);
    if (write != pendingWrites_.end() && write->second.isRemoval == isPendingRemoval_)
        pendingWrites_.erase(write);
    if (isPendingRemoval_)
        return {};
    auto entry = entries_.find(pendingPart_);
    if (entry != entries_.end())
        entry->second.isStored = true;
    else
        // Released while it was being written.
        pendingWrites_[pendingPart_] = {now, /*isRemoval=*/true};
    return {};
}

std::optional<QuarantineNews> RequestQuarantine::takeNews()
{
    if (news_.isEmpty())
        return std::nullopt;
    QuarantineNews news = std::move(news_);
    news_ = {};
    return news;
}

QuarantineNews RequestQuarantine::allNews() const
{
    QuarantineNews news;
    for (const auto& [key, crash] : ownCrashes_)
        news.crashes.push_back(crash);
    // Without the answers, the peer would take its older crashes for unexplained ones.
    for (TraitId part : evidence_.involvedParts()) {
        if (evidence_.answeredAt(part) != Instant::min() && news.answeredAt.size() < maxNewsItems)
            news.answeredAt[part] = evidence_.answeredAt(part);
    }
    news.quarantinedUntil = quarantinedUntil();
    return news;
}

bool RequestQuarantine::takeChanged() { return std::exchange(isChanged_, false); }

std::map<TraitId, Instant> RequestQuarantine::quarantinedUntil() const
{
    std::map<TraitId, Instant> result;
    for (const auto& [part, entry] : entries_)
        result[part] = entry.until;
    return result;
}

void RequestQuarantine::onStoreRestored(Instant now)
{
    pendingOp_ = 0;
    for (auto& [part, entry] : entries_) {
        entry.isStored = false;
        pendingWrites_[part] = {now, /*isRemoval=*/false};
    }
}

} // namespace ragwortwinch
