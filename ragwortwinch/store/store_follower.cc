#include "ragwortwinch/store/store_follower.h"

#include "ragwortwinch/base/log_event.h"

#include <algorithm>

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
    index_ = 0;
    revision_ = 0;
    pendingOp_ = ids_.next();
    return {StoreOp::list(pendingOp_, prefixes_[0])};
}

StoreOps StoreFollower::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (!answer.isOk()) {
        lose(now);
        return {};
    }
    regain(now);
    // Changes between two lists are seen by the watch, which starts at the first list.
    revision_ = index_ == 0 ? answer.revision : std::min(revision_, answer.revision);
    FollowerUpdate news;
    news.kind = FollowerUpdate::Kind::List;
    news.prefix = prefixes_[index_];
    news.entries = answer.entries;
    news_.push_back(std::move(news));
    if (++index_ < prefixes_.size()) {
        pendingOp_ = ids_.next();
        return {StoreOp::list(pendingOp_, prefixes_[index_])};
    }
    step_ = Step::Watch;
    nextCall_ = now;
    return {};
}

std::optional<WatchRequest> StoreFollower::takeWatch(Instant now)
{
    if (step_ != Step::Watch || now < nextCall_)
        return std::nullopt;
    step_ = Step::Watching;
    nextCall_ = now + options_.pace;
    return WatchRequest{watchPrefix_, revision_, options_.wait};
}

void StoreFollower::onWatchAnswer(Instant now, const WatchAnswer& answer)
{
    if (step_ != Step::Watching)
        return;
    step_ = Step::Watch;
    if (answer.status == WatchStatus::Unavailable) {
        lose(now);
        // What happened meanwhile is still in the history, if the outage is short.
        step_ = Step::Watch;
        return;
    }
    regain(now);
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
        FollowerUpdate news;
        news.event = event;
        news_.push_back(std::move(news));
    }
}

bool StoreFollower::isFollowed(const std::string& key) const
{
    return std::any_of(prefixes_.begin(), prefixes_.end(),
        [&](const std::string& prefix) { return key.starts_with(prefix); });
}

void StoreFollower::lose(Instant now)
{
    step_ = Step::List;
    nextCall_ = now + options_.retry;
    if (isStoreLost_)
        return;
    isStoreLost_ = true;
    LogEvent("store.lost", Severity::Warning).with("last_answer_ms_ago", (now - provedAt_).count());
    news_.push_back({FollowerUpdate::Kind::StoreLost, {}, {}, {}});
}

void StoreFollower::regain(Instant now)
{
    if (isStoreLost_) {
        isStoreLost_ = false;
        LogEvent("store.regained").with("lost_ms", (now - provedAt_).count());
        news_.push_back({FollowerUpdate::Kind::StoreRegained, {}, {}, {}});
    }
    provedAt_ = now;
}

std::vector<FollowerUpdate> StoreFollower::takeUpdates() { return std::exchange(news_, {}); }

} // namespace ragwortwinch
