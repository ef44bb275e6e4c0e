#include "ragwortwinch/usage/window_closer.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/usage/usage_flusher.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace ragwortwinch {

WindowCloser::WindowCloser(std::string shard, OpIds& ids, WindowCloserOptions options)
    : shard_(std::move(shard))
    , ids_(ids)
    , options_(options)
{
}

StoreOps WindowCloser::startOp(StoreOp op, Step step)
{
    step_ = step;
    pendingOp_ = op.id;
    return {std::move(op)};
}

StoreOps WindowCloser::restart(Instant now)
{
    step_ = Step::ReadMark;
    nextTry_ = now + options_.retryInterval;
    return {};
}

void WindowCloser::forgetOldDirectTotals()
{
    WindowId oldest = unixMillis_ / options_.windowLength.count() - retainedWindows;
    for (auto& [key, totals] : directTotals_)
        totals.erase(totals.begin(), totals.lower_bound(oldest));
    std::erase_if(directTotals_,
        [](const std::pair<const std::string, WindowUsage>& entry) { return entry.second.empty(); });
}

StoreOps WindowCloser::tick(Instant now, std::int64_t unixMillis, const Authority& authority)
{
    unixMillis_ = unixMillis;
    isQuietPeriodOver_ = authority.isQuietPeriodOver;
    forgetOldDirectTotals();
    bool hasLostAuthority = authority.epoch == 0 && isEnabled(Mechanism::ReportUnderAuthority);
    if (authority.epoch != epoch_ && (authority.epoch != 0 || hasLostAuthority)) {
        epoch_ = authority.epoch;
        step_ = epoch_ ? Step::ReadMark : Step::WithoutAuthority;
        pendingOp_ = 0;
        nextTry_ = now;
        nextReport_ = now;
    }
    if (pendingOp_ != 0 || now < nextTry_)
        return {};
    if (step_ == Step::ReadMark)
        return startOp(StoreOp::get(ids_.next(), markKey()), Step::ReadMark);
    if (step_ == Step::ReadNext && !skipLeftOut()) {
        // The next window ends where window `reported_.window + 2` starts.
        std::int64_t closesAt
            = (reported_.window + 2) * options_.windowLength.count() + options_.grace.count();
        if (unixMillis >= closesAt)
            return startOp(StoreOp::get(ids_.next(), closedKey(reported_.window + 1)), Step::ReadNext);
        // Another process whose clock is ahead may have closed the window before.
        if (unixMillis < closesAt - options_.grace.count())
            onCaughtUp();
    }
    if (step_ == Step::AdvanceMark)
        return startOp(StoreOp::put(ids_.next(), markKey(), markValue(closed_.window), markRevision_),
            Step::AdvanceMark);
    return {};
}

StoreOps WindowCloser::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (pendingOp_ == 0 || answer.opId != pendingOp_)
        return {};
    pendingOp_ = 0;
    if (answer.isOutage())
        return restart(now);
    switch (step_) {
    case Step::ReadMark:
        return onMarkRead(now, answer);
    case Step::RewriteClosed:
        return writeResumedMark();
    case Step::CreateMark:
        return restart(now);
    case Step::ReadPrevious:
        onPreviousRead(answer);
        return {};
    case Step::ReadNext:
        return onNextRead(answer);
    case Step::ListTotals:
        return onTotals(answer);
    case Step::StoreClosed:
        if (!answer.isOk())
            return restart(now);
        beginReport(std::move(closed_));
        return {};
    case Step::AdvanceMark:
        if (!answer.isOk())
            return restart(now);
        markRevision_ = answer.revision;
        isIncludedKnown_ = closed_.window != leftOutThrough_;
        reported_ = closed_;
        step_ = Step::ReadNext;
        return {};
    case Step::Report:
    case Step::WithoutAuthority:
        return {};
    }
    return {};
}

std::string WindowCloser::markValue(WindowId window) const
{
    if (!storeEra_)
        return std::to_string(window);
    return fmt::format("{} {} {}", window, *storeEra_, leftOutThrough_);
}

StoreOps WindowCloser::resumeAfterRestore(WindowId markedWindow)
{
    // A window that closes after an era was first seen can't have been reported before it.
    WindowId maybeReported = eraSeenAtUnixMillis_ / options_.windowLength.count() - 1;
    WindowId reported = std::max(markedWindow, progress_.window);
    leftOutThrough_ = progress_.isComplete(storeEra_) ? 0 : maybeReported;
    bool isAnyKnown = reported > 0;
    resumedMark_ = isAnyKnown ? std::max(reported, leftOutThrough_) : maybeReported;
    if (isAnyKnown && mustRepeat(reported))
        resumedMark_ = reported - 1;
    LogEvent("usage.resumed", Severity::Warning)
        .with("shard", shard_)
        .with("era", storeEra_.value_or(0))
        .with("marked", markedWindow)
        .with("reported", reported)
        .with("repeats", mustRepeat(reported))
        .with("left_out", isAnyKnown ? std::max<WindowId>(leftOutThrough_ - reported, 0) : 0);
    if (!mustRepeat(reported))
        return writeResumedMark();
    ClosedWindow closed;
    closed.window = reported;
    closed.figures = *progress_.figures;
    closed.carryOver = progress_.carryOver;
    // Replaces figures that a delayed write of another process may have left: these were sent.
    StoreOp op = StoreOp::put(ids_.next(), closedKey(reported), closed.toJson(), 0);
    op.expectedRevision.reset();
    return startOp(std::move(op), Step::RewriteClosed);
}

StoreOps WindowCloser::writeResumedMark()
{
    return startOp(
        StoreOp::put(ids_.next(), markKey(), markValue(resumedMark_), markRevision_), Step::CreateMark);
}

bool WindowCloser::skipLeftOut()
{
    WindowId next = reported_.window + 1;
    if (next > leftOutThrough_ || mustRepeat(next))
        return false;
    LogEvent("usage.windows_left_out", Severity::Warning)
        .with("shard", shard_)
        .with("from", next)
        .with("to", leftOutThrough_)
        .with("cause", "the store was restored; they may have been reported");
    closed_ = {};
    closed_.window = leftOutThrough_;
    step_ = Step::AdvanceMark;
    return true;
}

void WindowCloser::onPreviousRead(const StoreAnswer& answer)
{
    std::optional<ClosedWindow> closed = parseClosedWindow(answer.value);
    isIncludedKnown_ = closed.has_value() || !storeEra_;
    if (closed)
        reported_ = std::move(*closed);
    step_ = Step::ReadNext;
}

void WindowCloser::onStoreEra(
    Instant now, std::uint64_t era, std::int64_t unixMillis, const std::optional<AuthoritySpan>& span)
{
    // Another process that acquired the authority after `completeUntil_` reports a quiet period later at the
    // earliest.
    auto isKnownAt
        = [this](Instant at) { return completeUntil_ && at < *completeUntil_ + options_.quietPeriod; };
    bool isCaughtUp = epoch_ != 0 && progress_.epoch == epoch_;
    if (span && (isCaughtUp || isKnownAt(span->acquiredAt))) {
        completeUntil_ = span->confirmedAt;
        progress_.endedByEra = era;
    } else if (isKnownAt(now))
        progress_.endedByEra = era;
    storeEra_ = era;
    eraSeenAtUnixMillis_ = unixMillis;
    step_ = Step::WithoutAuthority;
    epoch_ = 0;
    pendingOp_ = 0;
    leftOutThrough_ = 0;
}

void WindowCloser::onCaughtUp()
{
    UsageProgress known;
    known.window = reported_.window;
    known.epoch = epoch_;
    progress_.merge(known);
}

void WindowCloser::onPeerProgress(
    const UsageProgress& progress, std::optional<std::uint64_t> era, std::int64_t eraSeenAtUnixMillis)
{
    progress_.merge(progress);
    if (storeEra_ && era == storeEra_)
        eraSeenAtUnixMillis_ = std::min(eraSeenAtUnixMillis_, eraSeenAtUnixMillis);
}

StoreOps WindowCloser::onMarkRead(Instant now, const StoreAnswer& answer)
{
    // The era that follows the window; marks of earlier releases and stores without eras have none.
    std::istringstream value(answer.isOk() ? answer.value : std::string());
    WindowId marked = 0;
    std::uint64_t number = 0;
    WindowId leftOutThrough = 0;
    std::optional<std::uint64_t> era;
    if (value >> marked && value >> number) {
        era = number;
        value >> leftOutThrough;
    }
    markRevision_ = answer.isOk() ? answer.revision : 0;
    if (storeEra_ && era != storeEra_) {
        // The peers have told what they know by the end of the quiet period.
        if (!isQuietPeriodOver_)
            return restart(now);
        return resumeAfterRestore(marked);
    }
    if (!answer.isOk()) {
        // There is no mark yet. Create it, so that all nodes agree on the first window to close.
        WindowId first = unixMillis_ / options_.windowLength.count() - 1;
        return startOp(StoreOp::put(ids_.next(), markKey(), std::to_string(first), 0), Step::CreateMark);
    }
    leftOutThrough_ = leftOutThrough;
    reported_ = {};
    reported_.window = marked;
    return startOp(StoreOp::get(ids_.next(), closedKey(reported_.window)), Step::ReadPrevious);
}

StoreOps WindowCloser::onNextRead(const StoreAnswer& answer)
{
    onCaughtUp();
    if (!answer.isOk())
        return startOp(StoreOp::list(ids_.next(), usageNodePrefix), Step::ListTotals);
    std::optional<ClosedWindow> closed = parseClosedWindow(answer.value);
    checkInvariant(closed.has_value(), "usage.closed_window_is_readable");
    if (!closed)
        return {};
    // Its report may have been sent.
    noteSent(*closed);
    beginReport(std::move(*closed));
    return {};
}

void WindowCloser::noteSent(const ClosedWindow& closed)
{
    // A report that has arrived is not open again.
    if (progress_.window >= closed.window)
        return;
    UsageProgress sent;
    sent.window = closed.window;
    sent.figures = closed.figures;
    sent.carryOver = closed.carryOver;
    sent.epoch = epoch_;
    progress_.merge(sent);
}

StoreOps WindowCloser::onTotals(const StoreAnswer& answer)
{
    std::map<std::string, WindowUsage> totals;
    for (const StoreEntry& entry : answer.entries)
        totals[entry.key] = windowUsageFromJson(parseJsonOrDiscard(entry.value));
    for (const auto& [key, direct] : directTotals_)
        mergeTotals(totals[key], direct);
    if (options_.acceptsDirectTotals) {
        for (const auto& [key, reported] : reported_.included)
            mergeTotals(totals[key], reported);
    }
    if (!isIncludedKnown_) {
        // Counts earlier windows as reported, since reporting them as late usage would count them twice.
        reported_.included = totals;
        for (auto& [key, windows] : reported_.included)
            windows.erase(windows.upper_bound(reported_.window), windows.end());
        isIncludedKnown_ = true;
    }
    closed_ = closeWindow(reported_.window + 1, reported_, totals);
    LogEvent("usage.close")
        .with("shard", shard_)
        .with("window", closed_.window)
        .with("teams", closed_.figures.size());
    if (!isEnabled(Mechanism::FreezeBeforeReport)) {
        beginReport(std::move(closed_));
        return {};
    }
    return startOp(
        StoreOp::put(ids_.next(), closedKey(closed_.window), closed_.toJson(), 0), Step::StoreClosed);
}

void WindowCloser::beginReport(ClosedWindow closed)
{
    closed_ = std::move(closed);
    step_ = Step::Report;
}

std::optional<ClosedWindow> WindowCloser::takeReport(Instant now, const Authority& authority)
{
    bool hasAuthority = authority.epoch != 0 && authority.epoch == epoch_ && authority.isQuietPeriodOver;
    bool mayReport = step_ == Step::Report && (hasAuthority || !isEnabled(Mechanism::ReportUnderAuthority));
    if (!mayReport || now < nextReport_)
        return std::nullopt;
    nextReport_ = now + options_.retryInterval;
    std::string body = closed_.reportBody(shard_);
    if (lastSentWindow_ == closed_.window)
        checkInvariant(lastSentBody_ == body, "usage.window_keeps_its_figures");
    lastSentWindow_ = closed_.window;
    lastSentBody_ = body;
    noteSent(closed_);
    return closed_;
}

void WindowCloser::onReportResult(WindowId window, SendOutcome outcome)
{
    if (step_ != Step::Report || window != closed_.window || outcome == SendOutcome::Unknown)
        return;
    LogEvent("usage.reported")
        .with("shard", shard_)
        .with("window", window)
        .with("outcome", sendOutcomeNames.name(outcome));
    if (progress_.window == window)
        progress_.figures.reset();
    step_ = Step::AdvanceMark;
}

} // namespace ragwortwinch
