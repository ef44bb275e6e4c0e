#include "ragwortwinch/membership/vm_registration.h"

#include "ragwortwinch/base/json.h"

#include <utility>

namespace ragwortwinch {

namespace {

constexpr Millis retryInterval{1000};

} // namespace

std::string encodeVmEntry(const VmInfo& vm)
{
    return Json({{"name", vm.name}, {"availability_zone", vm.availabilityZone}, {"region", vm.region},
                    {"entry_address", vm.entryAddress.text()}, {"peer_address", vm.peerAddress.text()},
                    {"incarnation", vm.incarnation}})
        .dump();
}

std::optional<VmInfo> decodeVmEntry(const std::string& value)
{
    Json document = parseJsonOrDiscard(value);
    VmInfo vm;
    vm.name = stringMember(document, "name");
    vm.availabilityZone = stringMember(document, "availability_zone");
    vm.region = stringMember(document, "region");
    vm.incarnation = static_cast<std::uint64_t>(integerMember(document, "incarnation"));
    std::optional<SocketAddress> entry = parseSocketAddress(stringMember(document, "entry_address"));
    std::optional<SocketAddress> peer = parseSocketAddress(stringMember(document, "peer_address"));
    if (vm.name.empty() || !entry || !peer)
        return std::nullopt;
    vm.entryAddress = *entry;
    vm.peerAddress = *peer;
    return vm;
}

VmRegistration::VmRegistration(VmInfo self, OpIds& ids, Millis ttl)
    : self_(std::move(self))
    , ids_(ids)
    , ttl_(ttl)
{
}

StoreOps VmRegistration::tick(Instant now)
{
    if (pendingOp_ != 0 || now < nextCall_ || isRemovalSent_)
        return {};
    if (isRemovalRequested_)
        return entry_ == Entry::Registered ? removeEntry() : read();
    switch (entry_) {
    case Entry::NotOurs:
        return write();
    case Entry::Unknown:
        return read();
    case Entry::Registered:
        return start(StoreOp::keepAlive(ids_.next(), key(), revision_, ttl_, storeLease_));
    }
    return {};
}

StoreOps VmRegistration::start(StoreOp op)
{
    pendingOp_ = op.id;
    pendingVerb_ = op.verb;
    return {std::move(op)};
}

StoreOps VmRegistration::write()
{
    return start(StoreOp::put(ids_.next(), key(), encodeVmEntry(self_), revision_, ttl_));
}

StoreOps VmRegistration::removeEntry()
{
    isRemovalSent_ = true;
    return start(StoreOp::remove(ids_.next(), key(), revision_));
}

StoreOps VmRegistration::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (pendingVerb_ == StoreVerb::Get)
        return onRead(now, answer);
    if (pendingVerb_ == StoreVerb::Put)
        onWritten(now, answer);
    else if (pendingVerb_ == StoreVerb::KeepAlive)
        onRenewed(now, answer);
    return {};
}

StoreOps VmRegistration::onRead(Instant now, const StoreAnswer& answer)
{
    if (answer.isOutage()) {
        nextCall_ = now + retryInterval;
        return {};
    }
    entry_ = Entry::NotOurs;
    revision_ = answer.isOk() ? answer.revision : 0;
    if (!isRemovalRequested_)
        return write();
    // An entry of this VM's previous process is removed as well.
    if (revision_ != 0)
        return removeEntry();
    isRemovalSent_ = true;
    return {};
}

void VmRegistration::onWritten(Instant now, const StoreAnswer& answer)
{
    if (answer.isOk()) {
        entry_ = Entry::Registered;
        revision_ = answer.revision;
        storeLease_ = answer.lease;
        nextCall_ = now + ttl_ / 3;
        return;
    }
    // After a conflict, which an entry of this VM's previous process causes, the next tick reads it.
    if (answer.status != StoreStatus::Unavailable)
        entry_ = Entry::Unknown;
    if (answer.status != StoreStatus::Conflict)
        nextCall_ = now + retryInterval;
}

void VmRegistration::onRenewed(Instant now, const StoreAnswer& answer)
{
    if (answer.isOk()) {
        nextCall_ = now + ttl_ / 3;
        return;
    }
    if (answer.status == StoreStatus::NotFound) {
        entry_ = Entry::NotOurs;
        revision_ = 0;
    } else if (answer.status == StoreStatus::Conflict)
        entry_ = Entry::Unknown;
    nextCall_ = now + retryInterval;
}

void VmRegistration::onStoreRestored(Instant now)
{
    pendingOp_ = 0;
    entry_ = Entry::Unknown;
    isRemovalSent_ = false;
    nextCall_ = now;
}

} // namespace ragwortwinch
