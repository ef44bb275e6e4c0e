// One long seeded random run over the protocol classes of several nodes, the store and the endpoints, with
// all faults mixed, under virtual time.
//
//     std::vector<std::string> breaches = runProtocols(4711);
//
// The same seed gives the same schedule. A broken invariant inside the product counts as a breach too.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch::protocol {

std::vector<std::string> runProtocols(std::uint64_t seed);

} // namespace ragwortwinch::protocol
