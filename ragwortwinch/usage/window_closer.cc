#include "ragwortwinch/usage/window_closer.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/usage/usage_flusher.h"

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
    std::erase_if(directTotals_, [oldest](const std::pair<const std::string, WindowUsage>& entry) {
        return entry.second.empty() || entry.second.rbegin()->first < oldest;
    });
}

StoreOps WindowCloser::tick(Instant now, std::int64_t unixMillis, const Authority& authority)
{
    unixMillis_ = unixMillis;
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
    if (step_ == Step::ReadNext) {
        // The next window ends where window `reported_.window + 2` starts.
        std::int64_t closesAt
            = (reported_.window + 2) * options_.windowLength.count() + options_.grace.count();
        if (unixMillis >= closesAt)
            return startOp(StoreOp::get(ids_.next(), closedKey(reported_.window + 1)), Step::ReadNext);
    }
    if (step_ == Step::AdvanceMark)
        return startOp(StoreOp::put(ids_.next(), markKey(), std::to_string(closed_.window), markRevision_),
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
        return onMarkRead(answer);
    case Step::CreateMark:
        return restart(now);
    case Step::ReadPrevious:
        if (std::optional<ClosedWindow> closed = parseClosedWindow(answer.value))
            reported_ = std::move(*closed);
        step_ = Step::ReadNext;
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
        reported_ = closed_;
        step_ = Step::ReadNext;
        return {};
    case Step::Report:
    case Step::WithoutAuthority:
        return {};
    }
    return {};
}

StoreOps WindowCloser::onMarkRead(const StoreAnswer& answer)
{
    if (!answer.isOk()) {
        // There is no mark yet. Create it, so that all nodes agree on the first window to close.
        WindowId first = unixMillis_ / options_.windowLength.count() - 1;
        return startOp(StoreOp::put(ids_.next(), markKey(), std::to_string(first), 0), Step::CreateMark);
    }
    markRevision_ = answer.revision;
    reported_ = {};
    reported_.window = std::strtoll(answer.value.c_str(), nullptr, 10);
    return startOp(StoreOp::get(ids_.next(), closedKey(reported_.window)), Step::ReadPrevious);
}

StoreOps WindowCloser::onNextRead(const StoreAnswer& answer)
{
    if (!answer.isOk())
        return startOp(StoreOp::list(ids_.next(), usageNodePrefix), Step::ListTotals);
    std::optional<ClosedWindow> closed = parseClosedWindow(answer.value);
    checkInvariant(closed.has_value(), "usage.closed_window_is_readable");
    if (closed)
        beginReport(std::move(*closed));
    return {};
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
    step_ = Step::AdvanceMark;
}

} // namespace ragwortwinch
