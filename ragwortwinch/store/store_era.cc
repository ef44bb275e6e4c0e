#include "ragwortwinch/store/store_era.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Leaves 13 bits for the era in the 53 bits that every JSON reader keeps exactly.
constexpr unsigned revisionBits = 40;

} // namespace

EraVerdict StoreEra::onAnswer(std::optional<std::uint64_t> sentIn, std::optional<std::uint64_t> era)
{
    if (!isEnabled(Mechanism::StoreEra))
        return EraVerdict::Current;
    if (!era) {
        if (!current_)
            return EraVerdict::Current;
        LogEvent("store.era_missing", Severity::Warning).with("era", *current_);
        return EraVerdict::Missing;
    }
    if (!current_) {
        current_ = era;
        greatest_ = *era;
        return EraVerdict::First;
    }
    if (*era == *current_)
        return EraVerdict::Current;
    if (*era < *current_) {
        bool wasSentBefore = !sentIn || *sentIn < *current_;
        if (wasSentBefore)
            return EraVerdict::Late;
        LogEvent("store.era_went_back", Severity::Error)
            .with("era", *era)
            .with("previous", *current_)
            .with("remedy", "check that all VMs reach the same store");
    }
    current_ = era;
    greatest_ = std::max(greatest_, *era);
    return EraVerdict::Restored;
}

bool StoreEra::onPeerEra(std::optional<std::uint64_t> era)
{
    // A VM that has no era of its own yet learns it from the store.
    if (!era || !current_ || *era <= greatest_)
        return false;
    current_ = era;
    greatest_ = *era;
    return true;
}

std::uint64_t makeFencingToken(std::optional<std::uint64_t> era, std::uint64_t revision)
{
    if (!isEnabled(Mechanism::StoreEra))
        return revision;
    return (era.value_or(0) << revisionBits) + revision;
}

} // namespace ragwortwinch
