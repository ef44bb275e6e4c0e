// Decides which facts about keys of the store are newer than what was applied, whether they come from this
// VM's own watch and lists or from a peer. A fact never goes back to an earlier state on one VM.
//
//     StoreNewsReceiver receiver({"quarantine/", "members/"});
//     receiver.onEra(era);
//     StoreNewsReceiver::NewerList list = receiver.onList(prefix, entries, revision);
//     if (receiver.acceptFromStore(event)) apply(event);
//     receiver.onPosition(follower.revision());
//     if (receiver.acceptFromPeer(era, event)) apply(event);
//
// Keeps a revision for each key: 300 KB at 3,000 endpoints. Opens no socket and reads no clock. Not
// thread-safe.
#pragma once

#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/store/watchable_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

class StoreNewsReceiver {
public:
    // Changes of keys outside `prefixes` are not accepted.
    explicit StoreNewsReceiver(const std::vector<std::string>& prefixes);

    // Revisions of another era have no meaning; clears what was applied if the era has changed.
    void onEra(std::optional<std::uint64_t> era);

    struct NewerList {
        // The listed entries that are at least as new as what was applied.
        std::vector<StoreEntry> entries;
        // Keys that exist and of which something newer was applied; the list says nothing about them.
        std::set<std::string> newerKeys;
    };
    // Takes a list of all keys under `prefix`, which is one of the prefixes; `revision` is the store's at its
    // first page.
    NewerList onList(const std::string& prefix, std::vector<StoreEntry> entries, std::uint64_t revision);
    bool acceptFromStore(const StoreEvent& event);
    bool acceptFromPeer(std::optional<std::uint64_t> era, const StoreEvent& event);
    // This VM's watch has returned all changes up to `revision`.
    void onPosition(std::uint64_t revision);

    bool isShared(std::string_view key) const;
    std::size_t keyCount() const { return applied_.size(); }

private:
    struct Applied {
        std::uint64_t revision = 0;
        bool isRemoval = false;
    };
    bool accept(const StoreEvent& event);
    // Returns the revision up to which a key that isn't known has been removed.
    std::uint64_t floorOf(std::string_view key) const;

    // The revision up to which all changes under each prefix are known.
    std::map<std::string, std::uint64_t, std::less<>> floors_;
    std::unordered_map<std::string, Applied> applied_;
    // The keys in `applied_` that are removed.
    std::set<std::string> removedKeys_;
    std::optional<std::uint64_t> era_;
};

} // namespace ragwortwinch
