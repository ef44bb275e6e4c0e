// The mechanisms that the system's guarantees depend on. A test can disable each one to show that the
// test's checks detect its absence.
//
//     if (isEnabled(Mechanism::QuietPeriod)) ...
//     ScopedDisable off(Mechanism::QuietPeriod);     // in a test; enabled again when destroyed
//
// Only tests disable mechanisms: there is no setting for it.
#pragma once

#include "ragwortwinch/base/name_table.h"

#include <atomic>
#include <cstdint>

namespace ragwortwinch {

enum class Mechanism {
    // The duration of a lease counts from the time at which its renewal was sent, not answered.
    LeaseFromSend,
    // A new holder of a lease waits before it sends orders to endpoints that do not check fencing tokens.
    QuietPeriod,
    // Sockets that are used under a lease are closed when its holder's authority ends, a margin before the
    // lease expires.
    CloseOnExpiry,
    // Orders are written to the journal in the store before they are sent.
    JournalBeforeSend,
    // A new holder of a lease takes over the unfinished orders of the previous one.
    JournalAdoption,
    // A different order to an endpoint waits until no delayed copy of the previous one can still arrive.
    StragglerWait,
    // Only greater versions of the configuration are adopted.
    MonotonicConfig,
    // When the answer to a configuration change is lost, the store is searched for the change's id.
    ChangeId,
    // Keyed requests run only if the configuration was recently confirmed to be the newest.
    ConfigFreshness,
    // A request's claim is stored before the request is dispatched.
    ClaimBeforeDispatch,
    // When the answer to writing a claim is lost, the claim is read back and compared by its attempt id.
    ClaimReadBack,
    // The figures of a usage window are fixed by a create-only write before they are reported.
    FreezeBeforeReport,
    // Usage reports are sent only with authority and after the quiet period.
    ReportUnderAuthority,
    // Usage totals are written by compare-and-swap.
    UsageCompareAndSwap,
    // Tokens of a stream are accepted only in the order of their offsets.
    TokenOffsets,
    // An answer is complete only after its terminal marker.
    TerminalMarker,
    // A request is reported as not run only when that is certain.
    RunTracking,
    // The "leaving" state of a VM or endpoint holds until a newer incarnation reports.
    StickyLeaving,
    // What is known about the store is read again when the store's era changes, and fencing tokens contain
    // the era.
    StoreEra,
};

inline constexpr NameTable<Mechanism, 19> mechanismNames{{{
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
    {Mechanism::FreezeBeforeReport, "freeze_first"},
    {Mechanism::ReportUnderAuthority, "report_under_authority"},
    {Mechanism::UsageCompareAndSwap, "usage_compare"},
    {Mechanism::TokenOffsets, "token_offsets"},
    {Mechanism::TerminalMarker, "terminal_marker"},
    {Mechanism::RunTracking, "run_tracking"},
    {Mechanism::StickyLeaving, "leaving_wins"},
    {Mechanism::StoreEra, "store_era"},
}}};

namespace internal {

extern std::atomic<std::uint32_t> disabledMechanisms;

} // namespace internal

inline bool isEnabled(Mechanism mechanism)
{
    return !(
        internal::disabledMechanisms.load(std::memory_order_relaxed) >> static_cast<int>(mechanism) & 1U);
}

// Disables one mechanism for its lifetime. For tests only.
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
