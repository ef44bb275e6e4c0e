// Metrics of what a VM reads from the store and shares with the VMs of its zone.
//
//     StoreNewsMetrics metrics(registry);
//     metrics.onSent(changes, frames, bytes);
//
// Thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstddef>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace ragwortwinch {

class StoreNewsMetrics {
public:
    // `registry` must outlive the object.
    explicit StoreNewsMetrics(prometheus::Registry& registry);

    void onWatch() { watches_.Increment(); }
    // `changes` are counted once for each peer.
    void onSent(std::size_t changes, std::size_t frames, std::size_t bytes);
    // `firstHeard` of the changes were new to this VM.
    void onReceived(std::size_t changes, std::size_t firstHeard);
    void setWatchInterval(Millis interval) { interval_.Set(static_cast<double>(interval.count())); }

private:
    prometheus::Counter& watches_;
    prometheus::Counter& sent_;
    prometheus::Counter& sentFrames_;
    prometheus::Counter& sentBytes_;
    prometheus::Counter& received_;
    prometheus::Counter& firstHeard_;
    prometheus::Gauge& interval_;
};

} // namespace ragwortwinch
