#include "ragwortwinch/forward/memory_account.h"

#include <algorithm>

namespace ragwortwinch {

MemoryLimits MemoryLimits::forMachine(double megabytes)
{
    MemoryLimits limits;
    std::size_t whole = limits.requestBytes + limits.smallRequestBytes + limits.replyBytes;
    double scale = std::min(1.0, megabytes * 1024 * 1024 / 2 / static_cast<double>(whole));
    for (std::size_t* bytes : {&limits.requestBytes, &limits.smallRequestBytes, &limits.replyBytes})
        *bytes = static_cast<std::size_t>(static_cast<double>(*bytes) * scale);
    // A quarter is left for callers with other addresses.
    limits.addressBytes = (limits.requestBytes + limits.smallRequestBytes) / 4 * 3;
    return limits;
}

bool MemoryAccount::tryAdd(const MemoryCharge& charge, std::size_t bytes)
{
    bool isSmall = charge.bytes() + bytes <= limits_.smallBytes;
    std::size_t limit = limits_.requestBytes + (isSmall ? limits_.smallRequestBytes : 0);
    if (requestBytes_ + bytes > limit)
        return false;
    std::map<std::string, std::size_t>::iterator found = bytesByAddress_.find(charge.address());
    std::size_t ofAddress = found == bytesByAddress_.end() ? 0 : found->second;
    if (!isSmall && ofAddress + bytes > limits_.addressBytes)
        return false;
    bytesByAddress_[charge.address()] = ofAddress + bytes;
    requestBytes_ += bytes;
    return true;
}

bool MemoryAccount::add(const MemoryCharge& charge, std::size_t bytes)
{
    return tryAdd(charge, bytes) || (reclaim_ && reclaim_(charge, bytes) && tryAdd(charge, bytes));
}

void MemoryAccount::release(const std::string& address, std::size_t bytes)
{
    requestBytes_ -= bytes;
    std::map<std::string, std::size_t>::iterator ofAddress = bytesByAddress_.find(address);
    if (ofAddress == bytesByAddress_.end())
        return;
    ofAddress->second -= bytes;
    if (ofAddress->second == 0)
        bytesByAddress_.erase(ofAddress);
}

bool MemoryCharge::add(std::size_t bytes)
{
    if (!account_.add(*this, bytes))
        return false;
    bytes_ += bytes;
    return true;
}

void MemoryCharge::release(std::size_t bytes)
{
    account_.release(address_, bytes);
    bytes_ -= bytes;
}

} // namespace ragwortwinch
