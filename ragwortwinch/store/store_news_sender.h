// Collects the changes that this VM was the first of its zone to read from the store, for the other VMs of
// the zone.
//
//     StoreNewsSender sender;
//     sender.onOwnChange(now, event);      // read from the store
//     sender.onPeerChange(event);          // a peer has told it
//     std::vector<StoreEvent> changes = sender.take(now, peerCount);
//
// Load that it handles: when a zone's endpoints all change at once, 1,000 changes of 300 bytes for 100 peers
// are 30 MB, more than a link of 10 Mbit/s takes in the 2 s after which each VM reads them by itself. Opens
// no socket and reads no clock. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/store/watchable_store.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

class StoreNewsSender {
public:
    // To all peers together: a fifth of the slowest link, 10 Mbit/s.
    static constexpr double bytesPerSecond = 250'000;
    static constexpr double burstBytes = 500'000;
    // A change that waited for this long isn't sent any more: each VM has read it by itself.
    static constexpr Millis maxAge{2000};

    void onOwnChange(Instant now, StoreEvent event);
    // A peer has told the same or a later change of the key.
    void onPeerChange(const StoreEvent& event);
    // Returns the changes to send to each of `peerCount` peers now, in one frame.
    std::vector<StoreEvent> take(Instant now, std::size_t peerCount);
    void clear();

    // Changes that were never sent because they were too many.
    std::uint64_t droppedCount() const { return droppedCount_; }

private:
    struct Pending {
        Instant since;
        StoreEvent event;
    };

    void erase(const std::string& key);

    // In the order in which they were read.
    std::map<std::uint64_t, Pending> pending_;
    std::unordered_map<std::string, std::uint64_t> numberByKey_;
    std::uint64_t lastNumber_ = 0;
    double available_ = burstBytes;
    Instant availableAt_;
    std::uint64_t droppedCount_ = 0;
};

} // namespace ragwortwinch
