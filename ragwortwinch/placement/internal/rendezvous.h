// Rendezvous hashing: all VMs rank the endpoints for a key in the same order.
#pragma once

#include <cstdint>
#include <string>

namespace ragwortwinch::internal {

// The endpoint with the greatest weight is the first choice for the key.
std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& endpointId);

} // namespace ragwortwinch::internal
