#include "ragwortwinch/placement/internal/rendezvous.h"

#include <functional>

namespace ragwortwinch::internal {

namespace {

// The 64-bit finalizer of MurmurHash3, in which each input bit affects all output bits.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::uint64_t rendezvousWeight(std::uint64_t key, const std::string& endpointId)
{
    return mix(key ^ mix(std::hash<std::string>()(endpointId)));
}

} // namespace ragwortwinch::internal
