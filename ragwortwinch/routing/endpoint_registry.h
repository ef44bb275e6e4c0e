// Which endpoints exist, from a list and the changes that follow it.
//
//     EndpointRegistry registry;
//     registry.onList(now, records);
//     registry.onPut(now, record);
//     registry.onRemoved(now, "i-7f3a91c2");
//     if (registry.tick(now)) use(registry.records());
//
// While the store is out of reach nothing is removed. Entries that lapsed meanwhile come back within the
// return grace if their endpoints live; those that are still missing then are gone. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/routing/endpoint_record.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

class EndpointRegistry {
public:
    // The platform promises entries back about two seconds after the store's return.
    static constexpr Millis returnGrace{2300};

    // The whole list, after a start or a gap in the changes.
    void onList(Instant now, const std::vector<EndpointRecord>& records);
    void onPut(Instant now, const EndpointRecord& record);
    void onRemoved(Instant now, const std::string& id);
    // The store answers no more, or answers again.
    void onStoreLost();
    void onStoreRegained(Instant now);
    // Removes what has been missing for the grace. Returns true when anything has changed since the last
    // call.
    bool tick(Instant now);

    std::vector<EndpointRecord> records() const;
    std::size_t size() const { return records_.size(); }

private:
    bool mustWait(Instant now) const { return isStoreLost_ || now < graceEnd_; }
    void remove(Instant now, const std::string& id);

    std::map<std::string, EndpointRecord> records_;
    // Of endpoints without an entry, when each is taken as gone.
    std::map<std::string, Instant> missingUntil_;
    bool isStoreLost_ = false;
    bool hasList_ = false;
    Instant graceEnd_;
    bool isChanged_ = false;
};

} // namespace ragwortwinch
