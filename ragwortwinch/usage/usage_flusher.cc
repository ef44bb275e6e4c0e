#include "ragwortwinch/usage/usage_flusher.h"

#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

UsageFlusher::UsageFlusher(
    const std::string& node, const std::string& incarnation, OpIds& ids, Millis interval, Millis retention)
    : key_(usageKey(node, incarnation))
    , ids_(ids)
    , interval_(interval)
    , retention_(retention)
{
}

StoreOps UsageFlusher::tick(Instant now, const WindowUsage& totals)
{
    if (pendingOp_ != 0 || now < nextWrite_)
        return {};
    if (needsReadBack_) {
        pendingOp_ = ids_.next();
        isReadingBack_ = true;
        return {StoreOp::get(pendingOp_, key_)};
    }
    if (totals == written_)
        return {};
    sent_ = totals;
    nextWrite_ = now + interval_;
    pendingOp_ = ids_.next();
    StoreOp op = StoreOp::put(pendingOp_, key_, toJson(sent_).dump(), revision_, retention_);
    if (!isEnabled(Mechanism::UsageCompareAndSwap))
        op.expectedRevision.reset();
    return {std::move(op)};
}

StoreOps UsageFlusher::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (isReadingBack_) {
        isReadingBack_ = false;
        if (answer.isOutage()) {
            nextWrite_ = now + interval_;
            return {};
        }
        needsReadBack_ = false;
        revision_ = answer.isOk() ? answer.revision : 0;
        written_ = answer.isOk() ? windowUsageFromJson(parseJsonOrDiscard(answer.value)) : WindowUsage{};
        return {};
    }
    if (answer.isOk()) {
        revision_ = answer.revision;
        written_ = sent_;
    } else if (answer.status != StoreStatus::Unavailable)
        needsReadBack_ = true;
    return {};
}

void UsageFlusher::onStoreRestored()
{
    pendingOp_ = 0;
    isReadingBack_ = false;
    needsReadBack_ = true;
    written_.clear();
    nextWrite_ = Instant::min();
}

} // namespace ragwortwinch
