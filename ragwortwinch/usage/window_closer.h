// Closes the usage windows of one shard in order and reports each to the platform. All reports of a window
// carry the same figures, also after a change of the reporting node.
//
//     WindowCloser closer("0", ids, options);
//     run(closer.tick(now, unixMillis, authority));
//     if (std::optional<ClosedWindow> report = closer.takeReport(now, authority)) send(*report);
//     closer.onReportResult(report->window, SendOutcome::Applied);
//
// The figures are fixed by a create-only write before they are reported, and every report sends the stored
// ones. Then the mark, a store key with the last window that was reported, is advanced. Nothing is reported
// without authority or during the quiet period (see `Authority`).
//
// A store that was restored from an older copy has lost some of these writes. The mark names its era, so a
// mark of an earlier one is noticed. Then `UsageProgress`, which the VMs tell each other, says what was
// reported. Windows of which no live VM knows whether they were reported are left out, since a missing figure
// costs less than two. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/fleet/order_journal.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/usage/closed_window.h"
#include "ragwortwinch/usage/usage_progress.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortwinch {

struct WindowCloserOptions {
    Millis windowLength{60000};
    // Grace period after the end of a window, in which late totals still count towards it.
    Millis grace{3000};
    Millis retryInterval{500};
    // Whether contributors also send their totals directly. Then a total may decrease: usage that was sent
    // but not yet stored is lost when its process is killed. Lost usage that was reported is not subtracted.
    bool acceptsDirectTotals = false;
    // A process reports nothing for this long after it has acquired the authority.
    Millis quietPeriod{0};
};

// The time for which a process is known to have had the authority.
struct AuthoritySpan {
    Instant acquiredAt;
    Instant confirmedAt;
};

class WindowCloser {
public:
    // `ids` must outlive the closer.
    WindowCloser(std::string shard, OpIds& ids, WindowCloserOptions options);

    // Returns the store operations to carry out now; call it periodically.
    StoreOps tick(Instant now, std::int64_t unixMillis, const Authority& authority);
    // Takes the answer to one of them; answers to other operations are ignored.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Sets the totals of a contributor's latest windows, sent directly by the contributor with this store
    // key. Where they are greater than the stored totals, as for a VM that can't reach the store, they count
    // instead. They are kept until their windows are older than `retainedWindows`.
    void setDirectTotals(const std::string& key, WindowUsage totals)
    {
        directTotals_[key] = std::move(totals);
    }
    // Takes those of a contributor's totals that have grown.
    void addDirectTotals(const std::string& key, const WindowUsage& totals)
    {
        mergeTotals(directTotals_[key], totals);
    }
    // The store named its era for the first time, or came back from an older copy in this era. `unixMillis`
    // is now in the VMs' common time. `span` if this process had the authority until now.
    void onStoreEra(
        Instant now, std::uint64_t era, std::int64_t unixMillis, const std::optional<AuthoritySpan>& span);
    // Takes what a peer knows about reported windows, and when it first saw the era.
    void onPeerProgress(
        const UsageProgress& progress, std::optional<std::uint64_t> era, std::int64_t eraSeenAtUnixMillis);
    // What this process knows about reported windows, for its peers.
    const UsageProgress& progress() const { return progress_; }
    // When the store's era was first seen by this process or a peer that has told so.
    std::int64_t eraSeenAtUnixMillis() const { return eraSeenAtUnixMillis_; }
    std::size_t directContributors() const { return directTotals_.size(); }
    // Returns the window to report now, and again after each retry interval until its result is known.
    std::optional<ClosedWindow> takeReport(Instant now, const Authority& authority);
    // Takes the outcome of a report: after an unknown one, `takeReport` returns the window again; after any
    // other, the mark is advanced.
    void onReportResult(WindowId window, SendOutcome outcome);

    // The latest window that this process knows to be reported.
    WindowId reportedThrough() const { return reported_.window; }
    bool isReporting() const { return step_ == Step::Report; }

private:
    enum class Step {
        WithoutAuthority,
        ReadMark,
        // After the store was restored: writes the figures of a report that is to be repeated.
        RewriteClosed,
        CreateMark,
        ReadPrevious,
        ReadNext,
        ListTotals,
        StoreClosed,
        Report,
        AdvanceMark,
    };

    std::string markKey() const { return "usage/mark/" + shard_; }
    std::string closedKey(WindowId window) const
    {
        return "usage/closed/" + shard_ + "/" + std::to_string(window);
    }
    void forgetOldDirectTotals();
    StoreOps startOp(StoreOp op, Step step);
    StoreOps restart(Instant now);
    // The value of the mark: the window, and if the store names its era, the era and `leftOutThrough_`.
    std::string markValue(WindowId window) const;
    StoreOps onMarkRead(Instant now, const StoreAnswer& answer);
    // Decides after which window to go on when the store was restored, and writes the mark anew.
    // `markRevision_` is that of the old one, 0 if there is none.
    StoreOps resumeAfterRestore(WindowId markedWindow);
    StoreOps writeResumedMark();
    // Advances the mark to `leftOutThrough_` if the next window is not to be reported.
    bool skipLeftOut();
    // Records that this process, with authority, knows all reports before its own.
    void onCaughtUp();
    // Whether the report of the window was sent, but may not have arrived.
    bool mustRepeat(WindowId window) const { return progress_.figures && progress_.window == window; }
    void onPreviousRead(const StoreAnswer& answer);
    StoreOps onNextRead(const StoreAnswer& answer);
    StoreOps onTotals(const StoreAnswer& answer);
    void beginReport(ClosedWindow closed);
    // Records that the report of this window may have been sent.
    void noteSent(const ClosedWindow& closed);

    std::string shard_;
    OpIds& ids_;
    WindowCloserOptions options_;
    Step step_ = Step::WithoutAuthority;
    // The epoch of the authority under which the current step runs; 0 without authority.
    std::uint64_t epoch_ = 0;
    std::uint64_t pendingOp_ = 0;
    // `tick` starts no operation earlier.
    Instant nextTry_;
    // As of the last tick.
    std::int64_t unixMillis_ = 0;
    std::uint64_t markRevision_ = 0;
    // The window that the mark names, and the one after it, which is being closed and reported.
    ClosedWindow reported_;
    ClosedWindow closed_;
    Instant nextReport_;
    // Whether what earlier reports included is known.
    bool isIncludedKnown_ = true;
    bool isQuietPeriodOver_ = false;
    std::optional<std::uint64_t> storeEra_;
    std::int64_t eraSeenAtUnixMillis_ = 0;
    UsageProgress progress_;
    // All reports up to this time are known to this process.
    std::optional<Instant> completeUntil_;
    // Windows up to this one may have been reported in an earlier era; they are not reported again.
    WindowId leftOutThrough_ = 0;
    WindowId resumedMark_ = 0;
    std::map<std::string, WindowUsage> directTotals_;
    // The last report of this process, to check that a window's figures never change.
    WindowId lastSentWindow_ = 0;
    std::string lastSentBody_;
};

} // namespace ragwortwinch
