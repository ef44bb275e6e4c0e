// The entry VMs as one node knows them: the platform's list and the heartbeats of peers together.
//
//     VmTable table("cnx-1", Millis(3000));
//     table.onPlatformList(now, vms);
//     table.onHeartbeat(now, digest.sender);
//     table.usable(now);
//
// Leaving wins over any other word until a newer incarnation says otherwise. Not thread-safe.
#pragma once

#include "ragwortwinch/membership/vm_info.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class VmTable {
public:
    // A VM that has not been heard of for `silenceBound` is not offered to callers.
    VmTable(std::string self, Millis silenceBound);

    void onPlatformList(Instant now, const std::vector<VmInfo>& vms);
    void onHeartbeat(Instant now, const VmInfo& vm);
    void setSelf(const VmInfo& vm);

    // Every VM but this one that is listed and has not left: those whose word is needed to agree on an
    // outage.
    std::set<std::string> nonLeavingPeers() const;
    // VMs that callers may use, this one included.
    std::vector<VmInfo> usable(Instant now) const;
    // How many VMs take requests now, this one included; at least 1.
    std::size_t usableCount(Instant now) const;
    // Addresses of all known peers.
    std::vector<SocketAddress> peerAddresses() const;
    bool isSelfLeaving() const { return isSelfLeaving_; }

    struct Entry {
        VmInfo info;
        bool isListed = false;
        // Min when it has never been heard.
        Instant lastHeartbeatAt = Instant::min();
    };
    const std::map<std::string, Entry>& entries() const { return entries_; }

private:
    bool isUsable(const Entry& entry, Instant now) const;
    static bool merge(VmInfo& known, const VmInfo& news);

    std::string self_;
    Millis silenceBound_;
    VmInfo selfInfo_;
    bool isSelfLeaving_ = false;
    std::map<std::string, Entry> entries_;
};

} // namespace ragwortwinch
