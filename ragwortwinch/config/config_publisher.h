// Publishes one change of the configuration: writes the body's parts, then the head by compare-and-swap.
//
//     ConfigPublisher publisher(text, expectedVersion, changeId, ids);
//     run(publisher.start());                   // store operations
//     run(publisher.onAnswer(now, answer));
//     publisher.state();                        // Accepted, Conflict, ...
//
// `Accepted` means that the write of the head took effect. After a lost answer or a conflict the head is read
// back; its change ids show whether this change was written. Not thread-safe.
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
    // A version other than the expected one is in force; see `versionInForce`.
    Conflict,
    // The change did not take effect: the store failed or refused.
    NotAccepted,
    // The change may have taken effect: the store gave no answer that decides it.
    Unknown,
};

class ConfigPublisher {
public:
    // `expectedVersion` is the version that `text` was edited from; `changeId` identifies the change in the
    // head. `ids` must outlive the publisher.
    ConfigPublisher(std::string text, std::uint64_t expectedVersion, std::string changeId, OpIds& ids);

    // Returns the first store operation.
    StoreOps start();
    // Takes the answer to the pending operation and returns the next one; ignores other answers.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    PublishState state() const { return state_; }
    // The version of the head when it was last read or written; 0 when there was none.
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
    // The head to write.
    ConfigHead next_;
    Step step_ = Step::ReadHead;
    PublishState state_ = PublishState::Running;
    std::uint64_t pendingOp_ = 0;
    std::uint64_t headRevision_ = 0;
    std::uint64_t versionInForce_ = 0;
    std::size_t part_ = 0;
    // Failed attempts at the current part or, after the parts, at the head.
    int tries_ = 0;
    // A write of the head was sent and got no answer, so it may take effect later.
    bool isWriteInDoubt_ = false;
};

} // namespace ragwortwinch
