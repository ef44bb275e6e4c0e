// Brings one change of the configuration into force: bodies first, then the head by compare-and-swap.
//
//     ConfigPublisher publisher(text, expectedVersion, changeId, ids);
//     run(publisher.start());                   // store operations
//     run(publisher.onAnswer(now, answer));
//     publisher.state();                        // Accepted, Conflict, ...
//
// Accepted means that the head's write took effect. After a lost answer the head is read back, and the change
// id tells whether it was ours. Not thread-safe.
#pragma once

#include "ragwortwinch/config/config_head.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <cstdint>
#include <string>

namespace ragwortwinch {

enum class PublishState {
    Running,
    Accepted,
    // Another change is in force; `versionInForce` names it.
    Conflict,
    // Nothing was accepted: the store refused.
    NotAccepted,
    // The store gave no answer often enough to know.
    Unknown,
};

class ConfigPublisher {
public:
    // `expectedVersion` is the version that the text was made from. `ids` outlives the publisher.
    ConfigPublisher(std::string text, std::uint64_t expectedVersion, std::string changeId, OpIds& ids);

    StoreOps start();
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    PublishState state() const { return state_; }
    std::uint64_t versionInForce() const { return versionInForce_; }

private:
    enum class Step { ReadHead, WritePart, WriteHead, ReadBack };

    StoreOps onHeadRead(const StoreAnswer& answer);
    StoreOps onPartWritten(const StoreAnswer& answer);
    StoreOps onHeadWritten(const StoreAnswer& answer);
    StoreOps onReadBack(const StoreAnswer& answer);
    StoreOps writePart();
    StoreOps writeHead();
    StoreOps readHead(Step step);
    StoreOps end(PublishState state);

    static constexpr int maxTries = 5;

    std::string text_;
    std::uint64_t expectedVersion_;
    OpIds& ids_;
    ConfigHead next_;
    Step step_ = Step::ReadHead;
    PublishState state_ = PublishState::Running;
    std::uint64_t pendingOp_ = 0;
    std::uint64_t headRevision_ = 0;
    std::uint64_t versionInForce_ = 0;
    std::size_t part_ = 0;
    int tries_ = 0;
    // A write of the head was sent and its answer was lost.
    bool isWriteInDoubt_ = false;
};

} // namespace ragwortwinch
