// Follows the keys under some prefixes: lists them, then watches, and lists again after a gap.
//
//     StoreFollower follower({"rules/", "members/"}, options, ids);
//     run(follower.tick(now));                       // lists, as store operations
//     if (std::optional<WatchRequest> watch = follower.takeWatch(now)) store.watch(...);
//     follower.onAnswer(now, answer);  follower.onWatchAnswer(now, watchAnswer);
//     for (FollowerUpdate& news : follower.takeUpdates()) ...
//
// Watches are paced: a busy prefix costs one call for each pace, however many changes there are. Holds no
// socket and no clock. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/store/watchable_store.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

struct FollowerOptions {
    // The shortest time between two watches.
    Millis pace{500};
    // How long a watch waits for a change; also how long a connection that went silent stays unnoticed.
    Millis wait{1500};
    // After the store gave no answer or refused.
    Millis retry{500};
};

struct FollowerUpdate {
    enum class Kind {
        // All keys under one prefix.
        List,
        Change,
        // The store answers no more, or answers again.
        StoreLost,
        StoreRegained,
    };
    Kind kind = Kind::Change;
    std::string prefix;
    std::vector<StoreEntry> entries;
    StoreEvent event;
};

struct WatchRequest {
    std::string prefix;
    std::uint64_t afterRevision = 0;
    Millis wait{0};
};

class StoreFollower {
public:
    // Every watched prefix starts with `watchPrefix`, which may be empty. `ids` outlives the follower.
    StoreFollower(
        std::vector<std::string> prefixes, std::string watchPrefix, FollowerOptions options, OpIds& ids);

    StoreOps tick(Instant now);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    std::optional<WatchRequest> takeWatch(Instant now);
    void onWatchAnswer(Instant now, const WatchAnswer& answer);
    std::vector<FollowerUpdate> takeUpdates();

    bool isStoreLost() const { return isStoreLost_; }
    // When the store last answered.
    Instant confirmedAt() const { return provedAt_; }

private:
    enum class Step { List, Listing, Watch, Watching };

    void lose(Instant now);
    void regain(Instant now);
    bool isFollowed(const std::string& key) const;

    std::vector<std::string> prefixes_;
    std::string watchPrefix_;
    FollowerOptions options_;
    OpIds& ids_;
    Step step_ = Step::List;
    // Which prefix is being listed.
    std::size_t index_ = 0;
    std::uint64_t pendingOp_ = 0;
    std::uint64_t revision_ = 0;
    Instant nextCall_;
    Instant provedAt_;
    bool isStoreLost_ = false;
    std::vector<FollowerUpdate> news_;
};

} // namespace ragwortwinch
