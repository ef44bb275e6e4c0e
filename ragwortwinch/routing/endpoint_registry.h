// The registered endpoints, from a full list and the changes that follow it.
//
//     EndpointRegistry registry;
//     registry.onList(now, records);
//     registry.onPut(now, record);
//     registry.onRemoved(now, "i-7f3a91c2");
//     if (registry.tick(now)) use(registry.records());
//
// Nothing is removed while the store is unavailable. Live endpoints whose entries expired meanwhile register
// again within the grace period; endpoints without an entry after it are removed. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/routing/endpoint_record.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class EndpointRegistry {
public:
    // The platform guarantees that live endpoints have registered again about two seconds after the store
    // recovers.
    static constexpr Millis reregistrationGrace{2300};
    // A departure is remembered for this long. A store is restored from a copy that is seconds old.
    static constexpr Millis departureMemory{120000};

    // Applies a full list, received at startup or after a gap in the changes. It says nothing about the
    // endpoints in `newerIds`, of which something newer is known.
    void onList(
        Instant now, const std::vector<EndpointRecord>& records, const std::set<std::string>& newerIds = {});
    // Returns whether the record was applied and differs from the former one.
    bool onPut(Instant now, const EndpointRecord& record);
    // The endpoint has written its entry again with nothing new in it. Returns false if it isn't registered.
    bool onHeartbeat(const std::string& id);
    void onRemoved(Instant now, const std::string& id);
    // Defer removals while the store is unavailable, and for the grace period after it is available again.
    void onStoreLost();
    void onStoreRegained(Instant now);
    // The store came back from an older copy: entries that are missing there get the grace period, and those
    // of endpoints that have left since don't make them usable again.
    void onStoreRestored(Instant now);
    // Removes endpoints whose deferred removal is due. Returns true if anything changed since the last call.
    bool tick(Instant now);

    std::vector<EndpointRecord> records() const;
    // Whether this very record is registered.
    bool holds(const EndpointRecord& record) const;
    std::size_t size() const { return records_.size(); }

private:
    bool isRemovalDeferred(Instant now) const { return isStoreLost_ || now < graceEnd_; }
    void remove(Instant now, const std::string& id);
    // Whether the record, from a list, shows an endpoint from before it left.
    bool isOutdated(Instant now, const EndpointRecord& record) const;

    std::map<std::string, EndpointRecord> records_;
    // When each endpoint without an entry is removed.
    std::map<std::string, Instant> removalTimes_;
    bool isStoreLost_ = false;
    bool hasList_ = false;
    Instant graceEnd_;
    struct Departure {
        std::int64_t incarnation = 0;
        Instant at;
    };
    // The endpoints whose entries were removed lately.
    std::map<std::string, Departure> departures_;
    // Lists up to this time may show endpoints that have left.
    Instant outdatedUntil_;
    bool isChanged_ = false;
};

} // namespace ragwortwinch
