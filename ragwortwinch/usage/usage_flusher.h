// Writes one node's usage totals to the store, all windows in one value, when they have changed, at most once
// per interval.
//
//     UsageFlusher flusher("cnx-1", incarnation, ids, Millis(1000));
//     run(flusher.tick(now, counter.totals()));
//
// The value is a running total with a single writer, and each write compares the revision, so a lost answer
// or a delayed write can't decrease it or count anything twice. A killed process loses at most what it
// counted since its last write; its usage is then under-counted, never over-counted. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/usage/usage_figures.h"

#include <string>

namespace ragwortwinch {

inline constexpr const char* usageNodePrefix = "usage/node/";
// How many windows `closeWindow` considers, the newest included; late usage of the others is carried over.
inline constexpr WindowId retainedWindows = 20;

// Returns the store key of the totals of one incarnation of a node, that is of one start of its process.
inline std::string usageKey(const std::string& node, const std::string& incarnation)
{
    return usageNodePrefix + node + "." + incarnation;
}

class UsageFlusher {
public:
    // `ids` must outlive the flusher. The value expires `retention` after the last write.
    UsageFlusher(const std::string& node, const std::string& incarnation, OpIds& ids, Millis interval,
        Millis retention = std::chrono::hours(6));

    // Returns the store operations to carry out now; call it periodically.
    StoreOps tick(Instant now, const WindowUsage& totals);
    // Takes the answer to one of them; answers to other operations are ignored.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // The store came back from an older copy: what it holds is read, then written again.
    void onStoreRestored();
    // Makes the next tick write without waiting for the interval; for a planned stop.
    void flushSoon() { nextWrite_ = Instant::min(); }
    // Returns whether the store is known to hold exactly `totals`.
    bool hasFlushed(const WindowUsage& totals) const { return totals == written_; }

private:
    std::string key_;
    OpIds& ids_;
    Millis interval_;
    Millis retention_;
    // Also the earliest time of the next read-back.
    Instant nextWrite_;
    std::uint64_t pendingOp_ = 0;
    bool isReadingBack_ = false;
    // The outcome of the last write is unknown, or its revision was not the expected one.
    bool needsReadBack_ = false;
    std::uint64_t revision_ = 0;
    // What the store is known to hold, and what the last write contained.
    WindowUsage written_;
    WindowUsage sent_;
};

} // namespace ragwortwinch
