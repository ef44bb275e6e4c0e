// The entry VMs that callers may use, as last determined by the control thread. Immutable.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <vector>

namespace ragwortwinch {

struct VmDirectory {
    std::vector<VmInfo> usable;
};

} // namespace ragwortwinch
