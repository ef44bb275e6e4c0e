#include "ragwortwinch/store/store_follower.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

StoreFollower::StoreFollower(
    std::vector<std::string> prefixes, std::string watchPrefix, FollowerOptions options, OpIds& ids)
    : prefixes_(std::move(prefixes))
    , watchPrefix_(std::move(watchPrefix))
    , options_(options)
    , ids_(ids)
{
}

StoreOps StoreFollower::tick(Instant now)
{
    if (step_ != Step::List || now < nextCall_)
        return {};
    step_ = Step::Listing;
    pendingOp_ = ids_.next();
    StoreOp op = StoreOp::list(pendingOp_, prefixes_[index_]);
    if (!listedEntries_.empty())
        op.after = listedEntries_.back().key;
    return {std::move(op)};
}

StoreOps StoreFollower::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (listedEntries_.empty())
        listedRevision_ = answer.revision;
    listedEntries_.insert(listedEntries_.end(), answer.entries.begin(), answer.entries.end());
    if (!answer.isOk()) {
        onStoreLost(now);
        return {};
    }
    onStoreAnswered(now);
    // The watch starts at the revision of the earliest list, so it also reports changes made between the
    // lists.
    revision_ = index_ == 0 ? listedRevision_ : std::min(revision_, listedRevision_);
    FollowerUpdate update;
    update.kind = FollowerUpdate::Kind::List;
    update.prefix = prefixes_[index_];
    update.entries = std::exchange(listedEntries_, {});
    update.revision = listedRevision_;
    updates_.push_back(std::move(update));
    if (++index_ < prefixes_.size()) {
        pendingOp_ = ids_.next();
        return {StoreOp::list(pendingOp_, prefixes_[index_])};
    }
    index_ = 0;
    step_ = Step::Watch;
    nextCall_ = now;
    return {};
}

std::optional<WatchRequest> StoreFollower::takeWatch(Instant now)
{
    if (step_ != Step::Watch || now < nextCall_)
        return std::nullopt;
    step_ = Step::Watching;
    nextCall_ = now + options_.minWatchInterval;
    lastWatchAt_ = now;
    return WatchRequest{++watchId_, watchPrefix_, revision_, options_.wait};
}

void StoreFollower::watchWithin(Millis interval)
{
    if (!isStoreLost_ && hasListed())
        nextCall_ = std::min(nextCall_, lastWatchAt_ + interval);
}

void StoreFollower::onStoreRestored(Instant now)
{
    step_ = Step::List;
    index_ = 0;
    listedEntries_.clear();
    pendingOp_ = 0;
    nextCall_ = now;
}

void StoreFollower::onWatchAnswer(Instant now, std::uint64_t id, const WatchAnswer& answer)
{
    if (step_ != Step::Watching || id != watchId_)
        return;
    step_ = Step::Watch;
    if (answer.status == WatchStatus::Unavailable) {
        onStoreLost(now);
        // Watch again from the same revision instead of listing: after a short outage the store's history
        // still holds the changes made meanwhile.
        step_ = Step::Watch;
        return;
    }
    onStoreAnswered(now);
    if (answer.status == WatchStatus::HistoryLost) {
        LogEvent("store.history_lost", Severity::Warning).with("after", revision_);
        step_ = Step::List;
        nextCall_ = now;
        return;
    }
    revision_ = std::max(revision_, answer.revision);
    for (const StoreEvent& event : answer.events) {
        if (!isFollowed(event.key))
            continue;
        FollowerUpdate update;
        update.event = event;
        updates_.push_back(std::move(update));
    }
}

bool StoreFollower::isFollowed(const std::string& key) const
{
    return std::any_of(prefixes_.begin(), prefixes_.end(),
        [&](const std::string& prefix) { return key.starts_with(prefix); });
}

void StoreFollower::onStoreLost(Instant now)
{
    step_ = Step::List;
    nextCall_ = now + options_.retryDelay;
    if (isStoreLost_)
        return;
    isStoreLost_ = true;
    LogEvent("store.lost", Severity::Warning).with("last_answer_ms_ago", (now - confirmedAt_).count());
    updates_.push_back({FollowerUpdate::Kind::StoreLost, {}, {}, {}, 0});
}

void StoreFollower::onStoreAnswered(Instant now)
{
    if (isStoreLost_) {
        isStoreLost_ = false;
        LogEvent("store.regained").with("lost_ms", (now - confirmedAt_).count());
        updates_.push_back({FollowerUpdate::Kind::StoreRegained, {}, {}, {}, 0});
    }
    confirmedAt_ = now;
}

std::vector<FollowerUpdate> StoreFollower::takeUpdates() { return std::exchange(updates_, {}); }

} // namespace ragwortwinch
