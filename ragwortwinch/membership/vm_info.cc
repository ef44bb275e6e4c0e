#include "ragwortwinch/membership/vm_info.h"

#include <algorithm>

namespace ragwortwinch {

void sortByLocality(std::vector<VmInfo>& vms, const std::string& availabilityZone, const std::string& region)
{
    auto distance = [&](const VmInfo& vm) {
        if (vm.availabilityZone == availabilityZone)
            return 0;
        return vm.region == region ? 1 : 2;
    };
    std::stable_sort(vms.begin(), vms.end(),
        [&](const VmInfo& left, const VmInfo& right) { return distance(left) < distance(right); });
}

} // namespace ragwortwinch
