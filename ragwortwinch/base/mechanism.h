// The mechanisms behind the system's promises, each of which a test can switch off to show that the checks
// notice.
//
//     if (isEnabled(Mechanism::QuietPeriod)) ...
//     ScopedDisable off(Mechanism::QuietPeriod);     // in a test, for the object's life
//
// Nothing but a test constructs `ScopedDisable`: there is no setting for it.
#pragma once

#include "ragwortwinch/base/name_table.h"

#include <atomic>
#include <cstdint>

namespace ragwortwinch {

enum class Mechanism {
    // Authority is counted from when the renewal was sent.
    LeaseFromSend,
    // A new holder waits before it sends to those that do not check fencing numbers.
    QuietPeriod,
    // Sockets close when authority ends.
    CloseOnExpiry,
    // Orders are in the store before they are sent.
    JournalBeforeSend,
    // A new holder takes over the unfinished orders of the former one.
    JournalAdoption,
    // A different order waits until a copy of the former one can't be under way any more.
    StragglerWait,
    // Only greater versions of the configuration are adopted.
    MonotonicConfig,
    // After a lost answer an operator's change is looked for by its id.
    ChangeId,
    // Keyed requests run only with a configuration that is proved fresh.
    ConfigFreshness,
    // A claim stands before dispatch.
    ClaimBeforeDispatch,
    // After a lost answer a claim is read back by its attempt.
    ClaimReadBack,
    // The figures of a window are frozen by a create-only write.
    FreezeFirst,
    // Reports are sent only under authority and after the quiet period.
    ReportUnderAuthority,
    // Usage totals are written by comparing revisions.
    UsageCompare,
    // Tokens are taken in the order of their offsets.
    TokenOffsets,
    // An answer ends with its terminal marker.
    TerminalMarker,
    // "Not run" is said only when it is known.
    RunTracking,
    // Leaving wins until a newer incarnation.
    StickyLeaving,
};

inline constexpr NameTable<Mechanism, 18> mechanismNames{{{
    {Mechanism::LeaseFromSend, "lease_from_send"},
    {Mechanism::QuietPeriod, "quiet_period"},
    {Mechanism::CloseOnExpiry, "fuse"},
    {Mechanism::JournalBeforeSend, "journal_first"},
    {Mechanism::JournalAdoption, "journal_adoption"},
    {Mechanism::StragglerWait, "straggler_wait"},
    {Mechanism::MonotonicConfig, "config_grows"},
    {Mechanism::ChangeId, "change_id"},
    {Mechanism::ConfigFreshness, "proof_bound"},
    {Mechanism::ClaimBeforeDispatch, "claim_first"},
    {Mechanism::ClaimReadBack, "claim_read_back"},
    {Mechanism::FreezeFirst, "freeze_first"},
    {Mechanism::ReportUnderAuthority, "report_under_authority"},
    {Mechanism::UsageCompare, "usage_compare"},
    {Mechanism::TokenOffsets, "token_offsets"},
    {Mechanism::TerminalMarker, "terminal_marker"},
    {Mechanism::RunTracking, "run_tracking"},
    {Mechanism::StickyLeaving, "leaving_wins"},
}}};

namespace internal {

extern std::atomic<std::uint32_t> switchedOffMechanisms;

} // namespace internal

inline bool isEnabled(Mechanism mechanism)
{
    return !(
        internal::switchedOffMechanisms.load(std::memory_order_relaxed) >> static_cast<int>(mechanism) & 1U);
}

// Switches one mechanism off for as long as it lives. For tests only.
class ScopedDisable {
public:
    explicit ScopedDisable(Mechanism);
    ~ScopedDisable();
    ScopedDisable(const ScopedDisable&) = delete;
    ScopedDisable& operator=(const ScopedDisable&) = delete;

private:
    Mechanism mechanism_;
};

} // namespace ragwortwinch
