// Simulates the platform's key-value service under virtual time, with its faults: outages, slow and lost
// requests, answers lost after a write took effect, requests that arrive after their sender has timed out,
// stale reads. As on the platform, each write of an expiring key grants a lease of its own, and renewing a
// lease succeeds whether or not a key is attached to it.
//
//     VirtualStore store(time, random);
//     store.execute(op, false, [](const StoreAnswer& answer) { ... });
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/store/store_op.h"
#include "testing/protocol/virtual_time.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace ragwortwinch::protocol {

// Probabilities of each fault for one operation.
struct StoreFaults {
    double lostRequest = 0.03;
    double lostAnswer = 0.05;
    double slowRequest = 0.03;
    double staleRead = 0.03;
};

class VirtualStore {
public:
    VirtualStore(VirtualTime& time, std::mt19937_64& random);

    // Sends an operation. `onAnswer` is called exactly once: with status Unknown after `clientTimeout` if no
    // answer has arrived. If `isPartitioned`, the operation never reaches the store.
    void execute(StoreOp op, bool isPartitioned, std::function<void(StoreAnswer)> onAnswer);
    // Names its era in answers from now on, and keeps a copy of itself every `copyInterval`.
    void keepCopies();
    // Goes back to the newest copy that is at least `age` old, or the oldest. The era rises by one.
    void restore(Millis age);
    void setOutage(bool value) { hasOutage_ = value; }
    void setFaults(const StoreFaults& faults) { faults_ = faults; }
    // Sets a function that is called for each Put or Delete that takes effect.
    void setObserver(std::function<void(const StoreOp&, std::uint64_t revision)> observer)
    {
        observer_ = std::move(observer);
    }
    // Returns the value, or an empty text if the key does not exist.
    std::string valueOf(const std::string& key) const;

    static constexpr Millis copyInterval{250};
    static constexpr Millis maxCopyAge{10000};
    static constexpr Millis clientTimeout{300};
    // A request arrives within this time or never.
    static constexpr Millis maxTransit{1200};
    // A Get may return a value that was replaced at most this long ago.
    static constexpr Millis maxReadStaleness{400};

private:
    struct Value {
        std::string text;
        std::uint64_t revision = 0;
        // 0 for a key that doesn't expire.
        std::uint64_t lease = 0;
    };
    struct PreviousValue {
        Value value;
        Instant replacedAt;
    };

    struct Copy {
        Instant at;
        std::uint64_t revision = 0;
        std::map<std::string, Value> values;
        std::map<std::uint64_t, Instant> leases;
    };

    StoreAnswer apply(const StoreOp& op);
    StoreAnswer read(const StoreOp& op);
    StoreAnswer write(const StoreOp& op);
    StoreAnswer renew(const StoreOp& op);
    void expire();
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Millis delay(std::int64_t most)
    {
        return Millis(std::uniform_int_distribution<std::int64_t>(0, most)(random_));
    }

    VirtualTime& time_;
    std::mt19937_64& random_;
    StoreFaults faults_;
    bool hasOutage_ = false;
    std::uint64_t revision_ = 1;
    std::optional<std::uint64_t> era_;
    std::deque<Copy> copies_;
    std::map<std::string, Value> values_;
    // Expiry times by lease.
    std::map<std::uint64_t, Instant> leases_;
    std::map<std::string, PreviousValue> previousValues_;
    std::function<void(const StoreOp&, std::uint64_t)> observer_;
};

} // namespace ragwortwinch::protocol
