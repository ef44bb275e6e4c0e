// Simulates the VMs of a fleet that share one duty, reporting usage, before a store that comes back from
// older copies.
//
//     RestoredStoreResult result = runRestoredStore({.vms = 195, .seed = 7, .hasVmFaults = true});
//     CHECK(result.violations.empty());
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch::protocol {

struct RestoredStoreOptions {
    int vms = 8;
    std::uint64_t seed = 1;
    // Whether restores may come while the VMs still recover from the last one.
    bool isDense = true;
    // Whether VMs also restart, freeze and are cut off from the store or their peers.
    bool hasVmFaults = false;
    // Whether requests to the store and its answers also get lost or late.
    bool hasStoreFaults = false;
};

struct RestoredStoreResult {
    std::vector<std::string> violations;
    int restores = 0;
    // Windows that were due, and those of them that were reported.
    int dueWindows = 0;
    int reportedWindows = 0;
    // Requests that were counted in the due windows, and those that were reported.
    std::int64_t counted = 0;
    std::int64_t reported = 0;
};

RestoredStoreResult runRestoredStore(const RestoredStoreOptions& options);

} // namespace ragwortwinch::protocol
