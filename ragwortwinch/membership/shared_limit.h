// This VM's part of a limit that all VMs share and that applies to any window of a fixed length.
//
//     SharedLimit limit(430.0, Millis(10000), startedAt);
//     limit.onVmCount(now, 195);       // this VM included; call it periodically
//     limit.part(now);                 // 430 / 195
//
// The parts of all VMs add up to at most the limit, also while VMs start, restart and leave, if each VM hears
// of the others within a window:
//  - A part is divided by the greatest number of VMs known within the last window, since a VM that has left
//    may have spent its part shortly before.
//  - A process has no part in its first window, since an earlier process of the same VM may have spent it and
//    the other VMs may not count this one yet.
// Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstddef>
#include <deque>

namespace ragwortwinch {

class SharedLimit {
public:
    SharedLimit(double whole, Millis window, Instant startedAt)
        : whole_(whole)
        , window_(window)
        , startedAt_(startedAt)
    {
    }

    void onVmCount(Instant now, std::size_t vms);
    // 0 in the first window, and as long as no number of VMs is known.
    double part(Instant now) const;
    // The greatest number of VMs known within the last window, as of the last `onVmCount`.
    std::size_t vmCount() const { return counts_.empty() ? 0 : counts_.front().vms; }

private:
    struct Count {
        // When this number was last reported.
        Instant at;
        std::size_t vms = 0;
    };

    double whole_;
    Millis window_;
    Instant startedAt_;
    // Each count is smaller than the one before it and was reported later.
    std::deque<Count> counts_;
};

} // namespace ragwortwinch
