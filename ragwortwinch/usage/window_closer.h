// Closes and reports the usage windows of one shard, each with one figure, whoever reports it.
//
//     WindowCloser closer("0", ids, options);
//     run(closer.tick(now, unixMillis, authority));
//     if (std::optional<ClosedWindow> report = closer.takeReport(now, authority)) send(*report);
//     closer.onReportResult(report->window, SendOutcome::Applied);
//
// The figures are frozen by a create-only write before they are reported; every report of the window, by
// whoever, sends what stands in the store. Nothing is reported without authority or inside the quiet period.
// Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/fleet/order_journal.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"
#include "ragwortwinch/usage/closed_window.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortwinch {

struct WindowCloserOptions {
    Millis windowLength{60000};
    // How long after its end a window stays open for late contributions.
    Millis grace{3000};
    Millis retryInterval{500};
    // Whether contributors also tell their totals directly. Then a total may shrink: what was told but not
    // stored is lost when its process is killed. What has been reported of it stays.
    bool acceptsToldTotals = false;
};

class WindowCloser {
public:
    // `ids` outlives the closer.
    WindowCloser(std::string shard, OpIds& ids, WindowCloserOptions options);

    StoreOps tick(Instant now, std::int64_t unixMillis, const Authority& authority);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Totals that contributors told directly, by their key in the store. They count where they are ahead of
    // the store's, such as those of a VM that can't reach it.
    void setDirectTotals(std::map<std::string, WindowUsage> totals) { directTotals_ = std::move(totals); }
    // Returns the window to report now; again after the retry interval until its result is known.
    std::optional<ClosedWindow> takeReport(Instant now, const Authority& authority);
    void onReportResult(WindowId window, SendOutcome outcome);

    // The latest window that the platform has acknowledged, as far as known here.
    WindowId reportedThrough() const { return reported_.window; }
    bool isReporting() const { return step_ == Step::Report; }

private:
    enum class Step {
        WithoutAuthority,
        ReadMark,
        CreateMark,
        ReadPrevious,
        ReadNext,
        ListTotals,
        Freeze,
        Report,
        MoveMark,
    };

    std::string markKey() const { return "usage/mark/" + shard_; }
    std::string closedKey(WindowId window) const
    {
        return "usage/closed/" + shard_ + "/" + std::to_string(window);
    }
    StoreOps ask(StoreOp op, Step step);
    StoreOps restart(Instant now);
    StoreOps onMarkRead(const StoreAnswer& answer);
    StoreOps onNextRead(const StoreAnswer& answer);
    StoreOps onTotals(const StoreAnswer& answer);
    void beginReport(ClosedWindow closed);

    std::string shard_;
    OpIds& ids_;
    WindowCloserOptions options_;
    Step step_ = Step::WithoutAuthority;
    std::uint64_t epoch_ = 0;
    std::uint64_t pendingOp_ = 0;
    Instant nextTry_;
    std::int64_t unixMillis_ = 0;
    std::uint64_t markRevision_ = 0;
    ClosedWindow reported_;
    ClosedWindow frozen_;
    Instant nextReport_;
    std::map<std::string, WindowUsage> directTotals_;
    // The last report of this process, to assert that a window keeps its figures.
    WindowId lastSentWindow_ = 0;
    std::string lastSentBody_;
};

} // namespace ragwortwinch
