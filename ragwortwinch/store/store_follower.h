// Follows the keys under a set of prefixes: lists them, then watches for changes, and lists them again when
// the store's history has a gap.
//
//     StoreFollower follower({"rules/", "members/"}, "", options, ids);
//     run(follower.tick(now));                       // lists, as store operations
//     if (std::optional<WatchRequest> watch = follower.takeWatch(now)) store.watch(...);
//     follower.onAnswer(now, answer);  follower.onWatchAnswer(now, watch->id, watchAnswer);
//     follower.onStoreRestored(now);                 // forgets its position and lists again
//     for (FollowerUpdate& update : follower.takeUpdates()) ...
//
// Watches are rate-limited, so a prefix with many changes costs at most one call per
// `FollowerOptions::minWatchInterval`. Opens no socket and reads no clock. Not thread-safe.
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
    Millis minWatchInterval{500};
    // How long a watch waits for a change; also bounds how long a dead connection goes unnoticed.
    Millis wait{1500};
    // Delay after the store gave no answer or refused.
    Millis retryDelay{500};
};

struct FollowerUpdate {
    enum class Kind {
        // `entries` are all keys under `prefix`.
        List,
        // `event` is one change.
        Change,
        // The store stopped answering, or answers again.
        StoreLost,
        StoreRegained,
    };
    Kind kind = Kind::Change;
    std::string prefix;
    std::vector<StoreEntry> entries;
    StoreEvent event;
    // The store's revision at the list.
    std::uint64_t revision = 0;
};

struct WatchRequest {
    // Matches the watch with its answer.
    std::uint64_t id = 0;
    std::string prefix;
    std::uint64_t afterRevision = 0;
    Millis wait{0};
};

class StoreFollower {
public:
    // Each of `prefixes` must start with `watchPrefix`, the prefix of the watch, which may be empty. `ids`
    // must outlive the follower.
    StoreFollower(
        std::vector<std::string> prefixes, std::string watchPrefix, FollowerOptions options, OpIds& ids);

    // Returns the store operations to carry out now; call it periodically.
    StoreOps tick(Instant now);
    // Takes the answer to one of them; answers to other operations are ignored.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Returns the watch to start now, if any; its answer goes to `onWatchAnswer`.
    std::optional<WatchRequest> takeWatch(Instant now);
    // Answers to watches other than the last are ignored.
    void onWatchAnswer(Instant now, std::uint64_t id, const WatchAnswer& answer);
    // The store came back from an older copy, in which revisions so far have no meaning.
    void onStoreRestored(Instant now);
    // Changes `FollowerOptions::minWatchInterval` from the next watch on.
    void setMinWatchInterval(Millis interval) { options_.minWatchInterval = interval; }
    // Changes `FollowerOptions::retryDelay`. Many VMs that are turned away together should not return
    // together.
    void setRetryDelay(Millis delay) { options_.retryDelay = delay; }
    // The next watch is due at the latest this long after the last one, unless the store is lost.
    void watchWithin(Millis interval);
    // Returns what has happened since the last call, in order.
    std::vector<FollowerUpdate> takeUpdates();

    bool isStoreLost() const { return isStoreLost_; }
    // When the store last answered.
    Instant confirmedAt() const { return confirmedAt_; }
    // The store's revision up to which changes were received.
    std::uint64_t revision() const { return revision_; }
    // Whether all prefixes have been listed, so that `revision` holds for all of them.
    bool hasListed() const { return step_ == Step::Watch || step_ == Step::Watching; }

private:
    // `List` and `Watch` are due; `Listing` and `Watching` await an answer.
    enum class Step { List, Listing, Watch, Watching };

    void onStoreLost(Instant now);
    void onStoreAnswered(Instant now);
    bool isFollowed(const std::string& key) const;

    std::vector<std::string> prefixes_;
    std::string watchPrefix_;
    FollowerOptions options_;
    OpIds& ids_;
    Step step_ = Step::List;
    // Index of the prefix that is listed next. After a failure the lists go on with the one that failed: the
    // watch starts at the revision of the earliest list.
    std::size_t index_ = 0;
    // The entries of that prefix that were listed before a failure, and the store's revision at the first
    // one.
    std::vector<StoreEntry> listedEntries_;
    std::uint64_t listedRevision_ = 0;
    std::uint64_t pendingOp_ = 0;
    std::uint64_t watchId_ = 0;
    // The next watch returns changes after this revision.
    std::uint64_t revision_ = 0;
    Instant nextCall_;
    Instant lastWatchAt_;
    Instant confirmedAt_;
    bool isStoreLost_ = false;
    std::vector<FollowerUpdate> updates_;
};

} // namespace ragwortwinch
