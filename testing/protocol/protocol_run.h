// Runs one deterministic simulation under virtual time, with random faults: the protocol classes of several
// nodes, the store and the endpoints.
//
//     std::vector<std::string> violations = runProtocols(4711);
//
// The same seed gives the same schedule. A broken invariant in the simulated code counts as a violation too.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch::protocol {

// Returns a description of each violation; empty if all guarantees held. Thread-safe.
std::vector<std::string> runProtocols(std::uint64_t seed);

} // namespace ragwortwinch::protocol
