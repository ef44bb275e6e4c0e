#include "ragwortwinch/config/config_publisher.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace {

// Change ids in `ConfigHead::history`.
constexpr std::size_t maxHistoryLength = 16;

} // namespace

ConfigPublisher::ConfigPublisher(
    std::string text, std::uint64_t expectedVersion, std::string changeId, OpIds& ids)
    : text_(std::move(text))
    , expectedVersion_(expectedVersion)
    , ids_(ids)
{
    next_.version = expectedVersion + 1;
    next_.changeId = std::move(changeId);
    next_.hash = sha256Hex(text_);
    next_.parts = configPartCount(text_.size());
}

StoreOps ConfigPublisher::start() { return readHead(Step::ReadHead); }

StoreOps ConfigPublisher::readHead(Step step)
{
    step_ = step;
    pendingOp_ = ids_.next();
    return {StoreOp::get(pendingOp_, configHeadKey)};
}

StoreOps ConfigPublisher::end(PublishState state)
{
    state_ = state;
    return {};
}

StoreOps ConfigPublisher::onAnswer(Instant, const StoreAnswer& answer)
{
    if (state_ != PublishState::Running || answer.opId != pendingOp_)
        return {};
    switch (step_) {
    case Step::ReadHead:
        return onHeadRead(answer);
    case Step::WritePart:
        return onPartWritten(answer);
    case Step::WriteHead:
        return onHeadWritten(answer);
    case Step::ReadBack:
        return onReadBack(answer);
    }
    return {};
}

StoreOps ConfigPublisher::onHeadRead(const StoreAnswer& answer)
{
    if (answer.isOutage())
        return end(PublishState::NotAccepted);
    std::optional<ConfigHead> head = parseConfigHead(answer.value);
    headRevision_ = answer.isOk() ? answer.revision : 0;
    versionInForce_ = head ? head->version : 0;
    if (versionInForce_ != expectedVersion_)
        return end(PublishState::Conflict);
    if (head) {
        next_.history = head->history;
        next_.history.insert(next_.history.begin(), head->changeId);
        if (next_.history.size() > maxHistoryLength)
            next_.history.resize(maxHistoryLength);
    }
    return writePart();
}

StoreOps ConfigPublisher::writePart()
{
    step_ = Step::WritePart;
    pendingOp_ = ids_.next();
    return {StoreOp::put(pendingOp_, configPartKey(next_.hash, part_),
        text_.substr(part_ * configPartBytes, configPartBytes), 0)};
}

StoreOps ConfigPublisher::onPartWritten(const StoreAnswer& answer)
{
    if (answer.status == StoreStatus::Unknown && ++tries_ < maxTries)
        return writePart();
    // A conflict means that the part is already stored: its key contains the hash of the body.
    if (!answer.isOk() && answer.status != StoreStatus::Conflict)
        return end(PublishState::NotAccepted);
    tries_ = 0;
    if (++part_ < next_.parts)
        return writePart();
    return writeHead();
}

StoreOps ConfigPublisher::writeHead()
{
    step_ = Step::WriteHead;
    pendingOp_ = ids_.next();
    return {StoreOp::put(pendingOp_, configHeadKey, next_.toJson(), headRevision_)};
}

StoreOps ConfigPublisher::onHeadWritten(const StoreAnswer& answer)
{
    if (answer.isOk()) {
        versionInForce_ = next_.version;
        return end(PublishState::Accepted);
    }
    if (!isEnabled(Mechanism::ChangeId))
        return end(PublishState::NotAccepted);
    // An earlier attempt whose answer was lost may still take effect, although this one failed.
    if (answer.status == StoreStatus::Unavailable)
        return end(isWriteInDoubt_ ? PublishState::Unknown : PublishState::NotAccepted);
    isWriteInDoubt_ = isWriteInDoubt_ || answer.status == StoreStatus::Unknown;
    return readHead(Step::ReadBack);
}

StoreOps ConfigPublisher::onReadBack(const StoreAnswer& answer)
{
    if (answer.isOutage()) {
        if (++tries_ < maxTries)
            return readHead(Step::ReadBack);
        return end(PublishState::Unknown);
    }
    std::optional<ConfigHead> head = parseConfigHead(answer.value);
    versionInForce_ = head ? head->version : 0;
    if (head && head->hasChange(next_.changeId))
        return end(PublishState::Accepted);
    if (answer.revision <= headRevision_) {
        // The head has not changed, or this read is stale, so the lost write may still arrive. Writing again
        // is safe and decides the outcome: both writes expect the same revision, so only one can succeed.
        if (++tries_ < maxTries)
            return writeHead();
        return end(PublishState::Unknown);
    }
    return end(PublishState::Conflict);
}

} // namespace ragwortwinch
