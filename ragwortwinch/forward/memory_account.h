// Counts what callers make this VM hold for their requests, and refuses what exceeds its limits.
//
//     MemoryAccount account(MemoryLimits::forMachine(120));
//     MemoryCharge charge(account, address);       // of one connection
//     if (!charge.add(bytes)) refuse the request;
//     charge.release(bytes);                       // the destructor releases the rest
//
// Replies have a limit of their own (ReplyMemory), since the requests that they answer have run.
// Confined to the forwarding thread.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <string>

namespace ragwortwinch {

class MemoryCharge;

struct MemoryLimits {
    // Requests of all connections together, and replies held whole.
    std::size_t requestBytes = 64 * 1024 * 1024;
    std::size_t replyBytes = 32 * 1024 * 1024;
    // Added to `requestBytes` for connections that hold at most `smallBytes`, so that ordinary requests are
    // still read while large ones fill the account.
    std::size_t smallRequestBytes = 8 * 1024 * 1024;
    std::size_t smallBytes = 64 * 1024;
    // Requests of all connections from one address together. No limit unless the memory of the machine is
    // known.
    std::size_t addressBytes = std::numeric_limits<std::size_t>::max();

    // The limits for a machine with so many megabytes of memory: the defaults, or less if they would exceed
    // half of it. The other half is for everything else that the process holds.
    static MemoryLimits forMachine(double megabytes);
};

class MemoryAccount {
public:
    // Tries to release at least so many bytes that connections other than that of `charge` hold. Returns
    // whether it released any.
    using Reclaim = std::function<bool(const MemoryCharge& charge, std::size_t bytes)>;

    explicit MemoryAccount(const MemoryLimits& limits)
        : limits_(limits)
    {
    }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    void setReclaim(Reclaim reclaim) { reclaim_ = std::move(reclaim); }
    std::size_t requestBytes() const { return requestBytes_; }

private:
    friend class MemoryCharge;

    bool tryAdd(const MemoryCharge& charge, std::size_t bytes);
    bool add(const MemoryCharge& charge, std::size_t bytes);
    void release(const std::string& address, std::size_t bytes);

    MemoryLimits limits_;
    Reclaim reclaim_;
    std::size_t requestBytes_ = 0;
    // Of addresses that hold anything.
    std::map<std::string, std::size_t> bytesByAddress_;
};

// What one connection holds.
class MemoryCharge {
public:
    // `account` must outlive the charge.
    MemoryCharge(MemoryAccount& account, std::string address)
        : account_(account)
        , address_(std::move(address))
    {
    }
    ~MemoryCharge() { release(bytes_); }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    // Returns false, and adds nothing, if a limit would be exceeded.
    bool add(std::size_t bytes);
    void release(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }
    const std::string& address() const { return address_; }

private:
    MemoryAccount& account_;
    std::string address_;
    std::size_t bytes_ = 0;
};

} // namespace ragwortwinch
