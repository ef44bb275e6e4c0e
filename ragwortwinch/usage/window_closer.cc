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

StoreOps WindowCloser::ask(StoreOp op, Step step)
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

StoreOps WindowCloser::tick(Instant now, std::int64_t unixMillis, const Authority& authority)
{
    unixMillis_ = unixMillis;
    bool isLost = authority.epoch == 0 && isEnabled(Mechanism::ReportUnderAuthority);
    if (authority.epoch != epoch_ && (authority.epoch != 0 || isLost)) {
        epoch_ = authority.epoch;
        step_ = epoch_ ? Step::ReadMark : Step::WithoutAuthority;
        pendingOp_ = 0;
        nextTry_ = now;
        nextReport_ = now;
    }
    if (pendingOp_ != 0 || now < nextTry_)
        return {};
    if (step_ == Step::ReadMark)
        return ask(StoreOp::get(ids_.next(), markKey()), Step::ReadMark);
    if (step_ == Step::ReadNext) {
        std::int64_t closesAt
            = (reported_.window + 2) * options_.windowLength.count() + options_.grace.count();
        if (unixMillis >= closesAt)
            return ask(StoreOp::get(ids_.next(), closedKey(reported_.window + 1)), Step::ReadNext);
    }
    if (step_ == Step::MoveMark)
        return ask(StoreOp::put(ids_.next(), markKey(), std::to_string(frozen_.window), markRevision_),
            Step::MoveMark);
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
    case Step::Freeze:
        if (!answer.isOk())
            return restart(now);
        beginReport(std::move(frozen_));
        return {};
    case Step::MoveMark:
        if (!answer.isOk())
            return restart(now);
        markRevision_ = answer.revision;
        reported_ = frozen_;
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
        // The first window ever to be closed is agreed on before anything is counted.
        WindowId first = unixMillis_ / options_.windowLength.count() - 1;
        return ask(StoreOp::put(ids_.next(), markKey(), std::to_string(first), 0), Step::CreateMark);
    }
    markRevision_ = answer.revision;
    reported_ = {};
    reported_.window = std::strtoll(answer.value.c_str(), nullptr, 10);
    return ask(StoreOp::get(ids_.next(), closedKey(reported_.window)), Step::ReadPrevious);
}

StoreOps WindowCloser::onNextRead(const StoreAnswer& answer)
{
    if (!answer.isOk())
        return ask(StoreOp::list(ids_.next(), usageNodePrefix), Step::ListTotals);
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
    for (const auto& [key, told] : directTotals_)
        raiseTotals(totals[key], told);
    if (options_.acceptsToldTotals) {
        for (const auto& [key, reported] : reported_.included)
            raiseTotals(totals[key], reported);
    }
    frozen_ = closeWindow(reported_.window + 1, reported_, totals);
    LogEvent("usage.close")
        .with("shard", shard_)
        .with("window", frozen_.window)
        .with("teams", frozen_.figures.size());
    if (!isEnabled(Mechanism::FreezeFirst)) {
        beginReport(std::move(frozen_));
        return {};
    }
    return ask(StoreOp::put(ids_.next(), closedKey(frozen_.window), frozen_.toJson(), 0), Step::Freeze);
}

void WindowCloser::beginReport(ClosedWindow closed)
{
    frozen_ = std::move(closed);
    step_ = Step::Report;
}

std::optional<ClosedWindow> WindowCloser::takeReport(Instant now, const Authority& authority)
{
    bool hasAuthority = authority.epoch != 0 && authority.epoch == epoch_ && authority.isQuietPeriodOver;
    bool mayReport = step_ == Step::Report && (hasAuthority || !isEnabled(Mechanism::ReportUnderAuthority));
    if (!mayReport || now < nextReport_)
        return std::nullopt;
    nextReport_ = now + options_.retryInterval;
    std::string body = frozen_.reportBody(shard_);
    if (lastSentWindow_ == frozen_.window)
        checkInvariant(lastSentBody_ == body, "usage.window_keeps_its_figures");
    lastSentWindow_ = frozen_.window;
    lastSentBody_ = body;
    return frozen_;
}

void WindowCloser::onReportResult(WindowId window, SendOutcome outcome)
{
    if (step_ != Step::Report || window != frozen_.window || outcome == SendOutcome::Unknown)
        return;
    LogEvent("usage.reported")
        .with("shard", shard_)
        .with("window", window)
        .with("outcome", sendOutcomeNames.name(outcome));
    step_ = Step::MoveMark;
}

} // namespace ragwortwinch
