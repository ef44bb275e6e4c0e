#include "ragwortwinch/membership/entry_vm_choice.h"

#include <algorithm>
#include <limits>

namespace ragwortwinch {

namespace {

// A VM that lags by this much gets half of its share.
constexpr Millis halvingLag{100};

// Keeps a quotient that is a whole number from being rounded down.
constexpr double roundingError = 1e-6;

// Mean of the known values of a resource; 0 if none is known.
double meanOf(const std::vector<VmInfo>& vms, double VmInfo::*resource)
{
    double sum = 0;
    int known = 0;
    for (const VmInfo& vm : vms) {
        sum += vm.*resource;
        known += vm.*resource > 0 ? 1 : 0;
    }
    return known > 0 ? sum / known : 0;
}

std::vector<double> sharesOf(const std::vector<VmInfo>& vms)
{
    std::vector<double> shares(vms.size(), std::numeric_limits<double>::infinity());
    for (double VmInfo::*resource : {&VmInfo::linkMbps, &VmInfo::processorCores}) {
        double mean = meanOf(vms, resource);
        for (std::size_t index = 0; index < vms.size(); ++index) {
            double value = vms[index].*resource;
            // An unknown resource counts as a mean one.
            shares[index] = std::min(shares[index], value > 0 ? value / mean : 1);
        }
    }
    for (std::size_t index = 0; index < vms.size(); ++index) {
        double lag = static_cast<double>(std::max(Millis(0), vms[index].lag).count());
        shares[index] /= 1 + lag / static_cast<double>(halvingLag.count());
    }
    return shares;
}

} // namespace

std::vector<VmInfo> chooseEntryVms(
    std::vector<VmInfo> usable, const std::string& availabilityZone, const std::string& region)
{
    sortByLocality(usable, availabilityZone, region);
    std::size_t sameZoneCount = static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(),
        [&](const VmInfo& vm) { return vm.availabilityZone == availabilityZone; }));
    usable.resize(std::min(usable.size(), std::max(sameZoneCount, minEntryVms)));
    return usable;
}

std::vector<VmInfo> repeatByCapacity(const std::vector<VmInfo>& vms, std::size_t limit)
{
    std::vector<VmInfo> entries(
        vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(std::min(vms.size(), limit)));
    if (entries.size() < 2)
        return entries;
    std::vector<double> shares = sharesOf(entries);
    double smallest = *std::min_element(shares.begin(), shares.end());
    double sum = 0;
    for (double& share : shares) {
        share /= smallest;
        sum += share;
    }
    // Shrinks the parts above one entry, so that all entries fit.
    double room = static_cast<double>(limit - entries.size());
    double extra = sum - static_cast<double>(entries.size());
    double scale = extra > room ? room / extra : 1;
    std::size_t distinct = entries.size();
    std::vector<std::size_t> copies(distinct, 1);
    std::size_t total = distinct;
    for (std::size_t index = 0; index < distinct; ++index) {
        copies[index] += static_cast<std::size_t>((shares[index] - 1) * scale + roundingError);
        total += copies[index] - 1;
    }
    for (std::size_t index = 0; index < distinct; ++index) {
        std::size_t others = total - copies[index];
        std::size_t most = std::max<std::size_t>(1, others);
        total -= copies[index] - std::min(copies[index], most);
        copies[index] = std::min(copies[index], most);
        entries.insert(entries.end(), copies[index] - 1, entries[index]);
    }
    entries.resize(std::min(entries.size(), limit));
    return entries;
}

} // namespace ragwortwinch
