// Operations on the platform's key-value service, as plain values. Classes such as `ConfigTracker` return
// operations and take answers, so that they need no sockets.
//
//     StoreOp op = StoreOp::put(id, "lease/usage/0", text, 0);   // create only
#pragma once

#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

enum class StoreVerb {
    Get,
    Put,
    // Restarts the ttl of a key, or of the lease that the operation names.
    KeepAlive,
    Delete,
    List,
};

inline constexpr NameTable<StoreVerb, 5> storeVerbNames{{{
    {StoreVerb::Get, "get"},
    {StoreVerb::Put, "put"},
    {StoreVerb::KeepAlive, "keep_alive"},
    {StoreVerb::Delete, "delete"},
    {StoreVerb::List, "list"},
}}};

// The outcome of an operation, as far as the caller can tell.
enum class StoreStatus {
    Ok,
    NotFound,
    // The revision was not the expected one; nothing was changed.
    Conflict,
    // The store was not reached, or answered that it did nothing.
    Unavailable,
    // No usable answer: the operation may have taken effect.
    Unknown,
};

inline constexpr NameTable<StoreStatus, 5> storeStatusNames{{{
    {StoreStatus::Ok, "ok"},
    {StoreStatus::NotFound, "not_found"},
    {StoreStatus::Conflict, "conflict"},
    {StoreStatus::Unavailable, "unavailable"},
    {StoreStatus::Unknown, "unknown"},
}}};

struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

// One operation. `expectedRevision` 0 requires that the key is absent; nullopt accepts any revision.
struct StoreOp {
    std::uint64_t id = 0;
    StoreVerb verb = StoreVerb::Get;
    // The key, or the prefix of a list.
    std::string key;
    std::string value;
    std::optional<std::uint64_t> expectedRevision;
    // Zero means that the key does not expire.
    Millis ttl{0};
    // Only keys after this one are listed, by stores that list in pages.
    std::string after = {};
    // The lease to renew, by stores that attach expiring keys to leases.
    std::uint64_t lease = 0;

    static StoreOp get(std::uint64_t id, std::string key)
    {
        return {id, StoreVerb::Get, std::move(key), {}, {}, Millis(0)};
    }
    static StoreOp list(std::uint64_t id, std::string prefix)
    {
        return {id, StoreVerb::List, std::move(prefix), {}, {}, Millis(0)};
    }
    static StoreOp put(
        std::uint64_t id, std::string key, std::string value, std::uint64_t expected, Millis ttl = Millis(0))
    {
        return {id, StoreVerb::Put, std::move(key), std::move(value), expected, ttl};
    }
    // `lease` is the one that the answer named which showed the key at revision `expected`. Renewing another
    // lease succeeds as long as that one lives, and doesn't keep the key.
    static StoreOp keepAlive(
        std::uint64_t id, std::string key, std::uint64_t expected, Millis ttl, std::uint64_t lease)
    {
        return {id, StoreVerb::KeepAlive, std::move(key), {}, expected, ttl, {}, lease};
    }
    static StoreOp remove(std::uint64_t id, std::string key, std::uint64_t expected)
    {
        return {id, StoreVerb::Delete, std::move(key), {}, expected, Millis(0)};
    }
};

struct StoreAnswer {
    std::uint64_t opId = 0;
    StoreStatus status = StoreStatus::Unknown;
    // The key's revision after the operation, or the current one after a conflict. For a list, the store's
    // revision; see `WatchableStore`.
    std::uint64_t revision = 0;
    std::string value;
    // Of a list; if it failed, those before the failure, if the store lists in pages.
    std::vector<StoreEntry> entries;
    // The era that the store named with the answer, if any; see `StoreEra`.
    std::optional<std::uint64_t> era = std::nullopt;
    // The lease to which the key is attached at `revision`; 0 if there is none, or the store has no leases.
    std::uint64_t lease = 0;

    bool isOk() const { return status == StoreStatus::Ok; }
    // Returns whether the store was not reached, refused the operation or gave no usable answer.
    bool isOutage() const { return status == StoreStatus::Unavailable || status == StoreStatus::Unknown; }
};

using StoreOps = std::vector<StoreOp>;

} // namespace ragwortwinch
