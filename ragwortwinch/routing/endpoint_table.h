// The endpoints of the active rules. Request threads read them without locks.
//
//     EndpointTable table;
//     table.update(rules);                      // control thread
//     std::vector<EndpointPointer> list = table.ofService("brew-model");
//
// An endpoint keeps its state and its rule while its address, service, fencing and slots are unchanged.
#pragma once

#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/routing/endpoint_state.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

// `update` may be called from one thread only; the rest is thread-safe.
class EndpointTable {
public:
    EndpointTable();

    void update(const Rules& rules);
    std::vector<EndpointPointer> ofService(const std::string& service) const;
    // Returns null if there is none of this name.
    EndpointPointer find(const std::string& name) const;
    std::vector<EndpointPointer> all() const;

private:
    using ByService = std::map<std::string, std::vector<EndpointPointer>>;

    Snapshot<ByService> byService_;
};

} // namespace ragwortwinch
