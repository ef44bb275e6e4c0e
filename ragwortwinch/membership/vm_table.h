// A node's view of the entry VMs, merged from the platform's list and the heartbeats of peers.
//
//     VmTable table("cnx-1", Millis(3000));
//     table.onPlatformList(now, vms);
//     table.onHeartbeat(now, digest.sender);
//     table.usable(now);
//
// Once an incarnation of a VM is marked as leaving it stays so; only a newer one clears the mark. Not
// thread-safe.
#pragma once

#include "ragwortwinch/membership/peer_heartbeat.h"
#include "ragwortwinch/membership/vm_info.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class VmTable {
public:
    // Callers are not directed to a VM without a heartbeat for `heartbeatTimeout`.
    VmTable(std::string self, Millis heartbeatTimeout);

    void onPlatformList(Instant now, const std::vector<VmInfo>& vms);
    void onHeartbeat(Instant now, const VmInfo& vm);
    // A heartbeat of a VM that has described itself before. Ignored if that was another incarnation.
    void onHeartbeat(Instant now, const std::string& name, const PeerHeartbeat& heartbeat);
    void setSelf(const VmInfo& vm);

    // Names of all other known VMs that are not leaving. With StalePolicy::AgreeThenServe a
    // stale configuration is used only if all of them report a store outage.
    std::set<std::string> nonLeavingPeers() const;
    // VMs that callers may use, including this one if it is ready.
    std::vector<VmInfo> usable(Instant now) const;
    // Number of VMs that accept requests; counts this one always, so it is at least 1.
    std::size_t usableCount(Instant now) const;
    // Addresses of all known peers.
    std::vector<SocketAddress> peerAddresses() const;
    bool isSelfLeaving() const { return isSelfLeaving_; }

    struct Entry {
        VmInfo info;
        // Whether the platform has listed the VM; if so, the entry is removed once a list lacks it.
        bool isListed = false;
        // Instant::min() before the first heartbeat.
        Instant lastHeartbeatAt = Instant::min();
    };
    const std::map<std::string, Entry>& entries() const { return entries_; }

private:
    bool isUsable(const Entry& entry, Instant now) const;
    static bool merge(VmInfo& current, const VmInfo& update);

    std::string self_;
    Millis heartbeatTimeout_;
    VmInfo selfInfo_;
    bool isSelfLeaving_ = false;
    std::map<std::string, Entry> entries_;
};

} // namespace ragwortwinch
