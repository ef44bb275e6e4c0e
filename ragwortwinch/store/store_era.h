// Tracks the era of the store, a number that rises each time the store comes back from an older copy of
// itself and has lost what it acknowledged since. Revisions and leases of an earlier era mean nothing in a
// later one.
//
//     StoreEra era;
//     std::optional<std::uint64_t> sentIn = era.current();
//     switch (era.onAnswer(sentIn, answer.era)) ...
//     if (era.onPeerEra(digest.storeEra)) restartAllWork();
//
// A store that names no era has one era for ever. Not thread-safe.
#pragma once

#include "ragwortwinch/base/name_table.h"

#include <cstdint>
#include <optional>

namespace ragwortwinch {

enum class EraVerdict {
    // The answer holds.
    Current,
    // The first era that is known. The answer holds.
    First,
    // The store was restored since the last answer: what is known about it must be read again.
    Restored,
    // The answer belongs to an earlier era.
    Late,
    // The answer names no era, or an unreadable one, although the store has named one before.
    Missing,
};

inline constexpr NameTable<EraVerdict, 5> eraVerdictNames{{{
    {EraVerdict::Current, "current"},
    {EraVerdict::First, "first"},
    {EraVerdict::Restored, "restored"},
    {EraVerdict::Late, "late"},
    {EraVerdict::Missing, "missing"},
}}};

class StoreEra {
public:
    // The era of the newest answer; nothing before the first that names one.
    std::optional<std::uint64_t> current() const { return current_; }
    // Takes the era of an answer to an operation that was sent in era `sentIn`.
    EraVerdict onAnswer(std::optional<std::uint64_t> sentIn, std::optional<std::uint64_t> era);
    // Takes the era that a peer knows; returns whether it is a later one.
    bool onPeerEra(std::optional<std::uint64_t> era);

private:
    std::optional<std::uint64_t> current_;
    std::uint64_t greatest_ = 0;
};

// Returns a number that grows from one acquisition of a lease to the next, also where the store's revisions
// went back in between: the era stands above the revision.
std::uint64_t makeFencingToken(std::optional<std::uint64_t> era, std::uint64_t revision);

} // namespace ragwortwinch
