// A key-value store whose changes can be watched.
//
//     store.watch("rules/", revision, Millis(1500), [](WatchAnswer answer) { ... });
#pragma once

#include "ragwortwinch/store/key_value_store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragwortwinch {

// One change of one key.
struct StoreEvent {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isRemoval = false;
};

enum class WatchStatus {
    Ok,
    // The store no longer keeps the changes after the requested revision: list the keys again.
    HistoryLost,
    // The store gave no answer or refused.
    Unavailable,
};

struct WatchAnswer {
    WatchStatus status = WatchStatus::Unavailable;
    std::vector<StoreEvent> events;
    // The revision to watch from next.
    std::uint64_t revision = 0;
    // The era that the store named with the answer, if any; see `StoreEra`.
    std::optional<std::uint64_t> era = std::nullopt;
};

// Thread-safe, like `KeyValueStore`. The answer to a list contains the store's revision.
class WatchableStore : public KeyValueStore {
public:
    // Calls `onAnswer` once: as soon as there are changes after `afterRevision`, or with none after `wait`.
    virtual void watch(std::string prefix, std::uint64_t afterRevision, Millis wait,
        std::function<void(WatchAnswer)> onAnswer)
        = 0;
};

} // namespace ragwortwinch
