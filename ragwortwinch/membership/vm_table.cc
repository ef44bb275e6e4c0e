#include "ragwortwinch/membership/vm_table.h"

#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

VmTable::VmTable(std::string self, Millis heartbeatTimeout)
    : self_(std::move(self))
    , heartbeatTimeout_(heartbeatTimeout)
{
}

bool VmTable::merge(VmInfo& current, const VmInfo& update)
{
    if (update.incarnation < current.incarnation)
        return false;
    bool isSameIncarnation = update.incarnation == current.incarnation;
    bool staysLeaving = current.isLeaving && isSameIncarnation && isEnabled(Mechanism::StickyLeaving);
    current = update;
    current.isLeaving = current.isLeaving || staysLeaving;
    return true;
}

void VmTable::onPlatformList(Instant, const std::vector<VmInfo>& vms)
{
    std::set<std::string> listed;
    for (const VmInfo& vm : vms) {
        if (vm.name == self_) {
            isSelfLeaving_ = isSelfLeaving_ || vm.isLeaving;
            continue;
        }
        listed.insert(vm.name);
        Entry& entry = entries_[vm.name];
        entry.isListed = true;
        // The list lags and has no incarnations, so once a VM has sent a heartbeat the list may mark it as
        // leaving but not clear the mark.
        if (entry.lastHeartbeatAt == Instant::min())
            entry.info = vm;
        entry.info.isLeaving = entry.info.isLeaving || vm.isLeaving;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        bool isDelisted = entry->second.isListed && !listed.contains(entry->first);
        entry = isDelisted ? entries_.erase(entry) : std::next(entry);
    }
}

void VmTable::onHeartbeat(Instant now, const VmInfo& vm)
{
    if (vm.name == self_)
        return;
    Entry& entry = entries_[vm.name];
    // After a clock was set back, a restarted VM has a smaller incarnation. It is accepted once the previous
    // one is silent.
    bool isPreviousSilent
        = entry.lastHeartbeatAt == Instant::min() || now - entry.lastHeartbeatAt > heartbeatTimeout_;
    if (isPreviousSilent && vm.incarnation < entry.info.incarnation)
        entry.info = vm;
    if (merge(entry.info, vm))
        entry.lastHeartbeatAt = now;
}

void VmTable::onHeartbeat(Instant now, const std::string& name, const PeerHeartbeat& heartbeat)
{
    auto found = entries_.find(name);
    if (found == entries_.end() || found->second.info.incarnation != heartbeat.incarnation)
        return;
    VmInfo& info = found->second.info;
    info.isReady = heartbeat.isReady;
    info.isLeaving = heartbeat.isLeaving || (info.isLeaving && isEnabled(Mechanism::StickyLeaving));
    info.lag = heartbeat.lag;
    found->second.lastHeartbeatAt = now;
}

void VmTable::setSelf(const VmInfo& vm) { selfInfo_ = vm; }

std::set<std::string> VmTable::nonLeavingPeers() const
{
    std::set<std::string> names;
    for (const auto& entry : entries_) {
        if (!entry.second.info.isLeaving)
            names.insert(entry.first);
    }
    return names;
}

bool VmTable::isUsable(const Entry& entry, Instant now) const
{
    return entry.info.isReady && !entry.info.isLeaving && entry.lastHeartbeatAt != Instant::min()
        && now - entry.lastHeartbeatAt <= heartbeatTimeout_;
}

std::vector<VmInfo> VmTable::usable(Instant now) const
{
    std::vector<VmInfo> vms;
    if (selfInfo_.isReady && !selfInfo_.isLeaving)
        vms.push_back(selfInfo_);
    for (const auto& entry : entries_) {
        if (isUsable(entry.second, now))
            vms.push_back(entry.second.info);
    }
    return vms;
}

std::size_t VmTable::usableCount(Instant now) const
{
    std::size_t count = 1;
    for (const auto& entry : entries_)
        count += isUsable(entry.second, now) ? 1 : 0;
    return count;
}

std::vector<SocketAddress> VmTable::peerAddresses() const
{
    std::vector<SocketAddress> addresses;
    for (const auto& entry : entries_) {
        if (entry.second.info.peerAddress.port != 0)
            addresses.push_back(entry.second.info.peerAddress);
    }
    return addresses;
}

} // namespace ragwortwinch
