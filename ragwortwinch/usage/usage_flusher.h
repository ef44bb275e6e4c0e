// Writes one node's usage totals to the store, all windows in one value, every second or two.
//
//     UsageFlusher flusher("cnx-1", incarnation, ids, Millis(1000));
//     run(flusher.tick(now, counter.totals()));
//
// The value is a running total with one writer, and each write compares the revision, so a lost answer or a
// late write never lowers or doubles it. A killed process loses at most what it counted since its last write,
// in the teams' favour. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/usage/usage_figures.h"

#include <string>

namespace ragwortwinch {

inline constexpr const char* usageNodePrefix = "usage/node/";
// How many windows behind the newest one may still be carried over.
inline constexpr WindowId retainedWindows = 20;

// The store's key of what one start of a VM has counted.
inline std::string usageKey(const std::string& node, const std::string& incarnation)
{
    return usageNodePrefix + node + "." + incarnation;
}

class UsageFlusher {
public:
    // `ids` outlives the flusher. The value expires `retention` after the last write.
    UsageFlusher(const std::string& node, const std::string& incarnation, OpIds& ids, Millis interval,
        Millis retention = std::chrono::hours(6));

    StoreOps tick(Instant now, const WindowUsage& totals);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Writes at the next tick, whatever the interval; for a planned stop.
    void flushSoon() { nextWrite_ = Instant::min(); }
    // True when the store holds exactly `totals`.
    bool hasFlushed(const WindowUsage& totals) const { return totals == written_; }

private:
    std::string key_;
    OpIds& ids_;
    Millis interval_;
    Millis retention_;
    Instant nextWrite_;
    std::uint64_t pendingOp_ = 0;
    bool isReadingBack_ = false;
    bool needsReadBack_ = false;
    std::uint64_t revision_ = 0;
    WindowUsage written_;
    WindowUsage sent_;
};

} // namespace ragwortwinch
