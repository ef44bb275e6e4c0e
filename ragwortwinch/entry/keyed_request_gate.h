// Whether keyed requests (those that need an API key) may run now, as last determined by the control thread.
//
// The permission expires, so that a node whose control thread is blocked does not serve keyed requests on an
// outdated decision. Thread-safe.
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
