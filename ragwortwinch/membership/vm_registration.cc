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
    pendingOp_ = ids_.next();
    if (isRemovalRequested_) {
        isRemovalSent_ = true;
        StoreOp op = StoreOp::remove(pendingOp_, key(), 0);
        op.expectedRevision.reset();
        return {std::move(op)};
    }
    if (isRegistered_)
        return {StoreOp::keepAlive(pendingOp_, key(), 0, ttl_, storeLease_)};
    StoreOp op = StoreOp::put(pendingOp_, key(), encodeVmEntry(self_), 0, ttl_);
    // An entry of this VM's previous process may still exist.
    op.expectedRevision.reset();
    return {std::move(op)};
}

StoreOps VmRegistration::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (answer.isOk()) {
        if (!std::exchange(isRegistered_, true))
            storeLease_ = answer.lease;
        nextCall_ = now + ttl_ / 3;
        return {};
    }
    if (answer.status == StoreStatus::NotFound)
        isRegistered_ = false;
    nextCall_ = now + retryInterval;
    return {};
}

void VmRegistration::onStoreRestored(Instant now)
{
    pendingOp_ = 0;
    isRegistered_ = false;
    isRemovalSent_ = false;
    nextCall_ = now;
}

} // namespace ragwortwinch
