// The entry VMs that callers may use, as the control thread last saw them. Immutable.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <vector>

namespace ragwortwinch {

struct VmDirectory {
    std::vector<VmInfo> usable;
};

} // namespace ragwortwinch
