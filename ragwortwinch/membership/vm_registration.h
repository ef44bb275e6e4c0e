// Maintains this VM's entry in the store, through which the others discover it. The entry expires unless the
// VM renews it.
//
//     VmRegistration registration(info, ids, Millis(10000));
//     run(registration.tick(now));
//     registration.onAnswer(now, answer);
//
// All writes name the revision that they replace, so that one without an answer has no effect if it is
// carried out after a later one, by this process or the next one of the same VM. Not thread-safe.
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
    // What is known of the entry in the store.
    enum class Entry {
        // At `revision_`, written by another process, or absent if that is 0.
        NotOurs,
        // A write of this process had no answer.
        Unknown,
        // Written by this process at `revision_`, attached to `storeLease_`.
        Registered,
    };

    std::string key() const { return vmKeyPrefix + self_.name; }
    // Starts an operation, whose answer is awaited.
    StoreOps start(StoreOp op);
    StoreOps read() { return start(StoreOp::get(ids_.next(), key())); }
    StoreOps write();
    StoreOps removeEntry();
    StoreOps onRead(Instant now, const StoreAnswer& answer);
    void onWritten(Instant now, const StoreAnswer& answer);
    void onRenewed(Instant now, const StoreAnswer& answer);

    VmInfo self_;
    OpIds& ids_;
    Millis ttl_;
    std::uint64_t pendingOp_ = 0;
    StoreVerb pendingVerb_ = StoreVerb::Get;
    Entry entry_ = Entry::NotOurs;
    std::uint64_t revision_ = 0;
    std::uint64_t storeLease_ = 0;
    bool isRemovalRequested_ = false;
    bool isRemovalSent_ = false;
    Instant nextCall_;
};

} // namespace ragwortwinch
