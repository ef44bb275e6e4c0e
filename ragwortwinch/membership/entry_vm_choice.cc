#include "ragwortwinch/membership/entry_vm_choice.h"

#include <algorithm>

namespace ragwortwinch {

std::vector<VmInfo> chooseEntryVms(
    std::vector<VmInfo> usable, const std::string& availabilityZone, const std::string& region)
{
    sortByLocality(usable, availabilityZone, region);
    std::size_t near = static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(),
        [&](const VmInfo& vm) { return vm.availabilityZone == availabilityZone; }));
    usable.resize(std::min(usable.size(), std::max(near, leastChoice)));
    return usable;
}

} // namespace ragwortwinch
