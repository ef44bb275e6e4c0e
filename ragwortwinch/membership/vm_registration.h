// Maintains this VM's entry in the store, through which the others discover it. The entry expires unless the
// VM renews it.
//
//     VmRegistration registration(info, ids, Millis(10000));
//     run(registration.tick(now));
//     registration.onAnswer(now, answer);
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/membership/vm_info.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <optional>
#include <string>

namespace ragwortwinch {

inline constexpr const char* vmKeyPrefix = "vm/";

std::string encodeVmEntry(const VmInfo&);
// Returns nothing if the entry is malformed.
std::optional<VmInfo> decodeVmEntry(const std::string& value);

class VmRegistration {
public:
    // `ids` outlives the object.
    VmRegistration(VmInfo self, OpIds& ids, Millis ttl);

    StoreOps tick(Instant now);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // The store came back from an older copy: registers again, since the lease of the entry is lost.
    void onStoreRestored(Instant now);
    // Requests removal; `tick` returns the operation when the next one is due.
    void remove() { isRemovalRequested_ = true; }

private:
    std::string key() const { return vmKeyPrefix + self_.name; }

    VmInfo self_;
    OpIds& ids_;
    Millis ttl_;
    std::uint64_t pendingOp_ = 0;
    // The store's lease to which the entry is attached.
    std::uint64_t storeLease_ = 0;
    bool isRegistered_ = false;
    bool isRemovalRequested_ = false;
    bool isRemovalSent_ = false;
    Instant nextCall_;
};

} // namespace ragwortwinch
