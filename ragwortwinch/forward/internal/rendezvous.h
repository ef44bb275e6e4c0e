// Rendezvous hashing: every VM ranks the endpoints for a key in the same way.
#pragma once

#include <cstdint>
#include <string>

namespace ragwortwinch::internal {

// The endpoint with the greatest weight is the key's home.
std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& endpointId);

} // namespace ragwortwinch::internal
