// A key-value service that also reports changes as they happen.
//
//     store.watch("rules/", revision, Millis(1500), [](WatchAnswer answer) { ... });
#pragma once

#include "ragwortwinch/store/key_value_store.h"

#include <cstdint>
#include <functional>
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
    // The changes after the revision asked for are no longer kept: list again.
    HistoryLost,
    // No answer, or a refusal.
    Unavailable,
};

struct WatchAnswer {
    WatchStatus status = WatchStatus::Unavailable;
    std::vector<StoreEvent> events;
    // Where to go on.
    std::uint64_t revision = 0;
};

// Thread-safe, as KeyValueStore. The answer to a list carries the store's revision.
class WatchableStore : public KeyValueStore {
public:
    // Answers as soon as there is a change after `afterRevision`, or without one after `wait`.
    virtual void watch(std::string prefix, std::uint64_t afterRevision, Millis wait,
        std::function<void(WatchAnswer)> onAnswer)
        = 0;
};

} // namespace ragwortwinch
