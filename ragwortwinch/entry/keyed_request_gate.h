// Whether keyed requests may run at this moment, as the control thread last judged.
//
// The judgement lapses by itself: a node whose control thread stands still serves no keyed request on an old
// one. Thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <atomic>
#include <cstdint>

namespace ragwortwinch {

class KeyedRequestGate {
public:
    void allowUntil(Instant end) { allowedUntil_.store(end.time_since_epoch().count()); }
    void close() { allowedUntil_.store(INT64_MIN); }
    bool isOpen(Instant now) const { return now.time_since_epoch().count() <= allowedUntil_.load(); }

private:
    std::atomic<std::int64_t> allowedUntil_{INT64_MIN};
};

} // namespace ragwortwinch
