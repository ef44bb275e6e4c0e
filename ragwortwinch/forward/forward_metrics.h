// Counters and histograms of the forwarding path, in a prometheus-cpp registry.
//
//     ForwardMetrics metrics(registry);
//     metrics.onRequestEnd("chat", RequestOutcome::Answered, Millis(12));
//
// Thread-safe.
#pragma once

#include "ragwortwinch/allowance/team_allowance.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/attempt.h"
#include "ragwortwinch/forward/connection_end.h"
#include "ragwortwinch/forward/request_outcome.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace ragwortwinch {

class ForwardMetrics {
public:
    // `registry` must outlive the object.
    explicit ForwardMetrics(prometheus::Registry& registry);

    void onRequestEnd(const std::string& route, RequestOutcome outcome, Millis duration);
    void onFirstByte(const std::string& route, Millis duration);
    void onAttemptEnd(const std::string& service, AttemptEnd end);
    void onRetry(const std::string& service);
    // A request was sent once more after an attempt that has certainly not run it.
    void onRetryNotRun(const std::string& service, AttemptEnd end);
    void onRetryBudgetEmpty(const std::string& service);
    // A request was sent while slots were reserved for more urgent ones.
    void onReserveApplied(const std::string& service);
    // A less urgent request took a reserved slot since no engine had another one.
    void onReservedSlotTaken(const std::string& service);
    // Mean time between the events of a stream, from the first one to its end.
    void onTokenTime(const std::string& service, double millis);
    // A request was not sent, or not sent again, because its caller had left.
    void onSendDropped(const std::string& service);
    // A request had a prompt part in quarantine.
    void onQuarantined(const std::string& route);
    // How late the forwarding thread handles events.
    void setLag(Millis lag) { lag_.Set(static_cast<double>(lag.count())); }
    // A request was refused because its time was over when it was read.
    void onReadTooLate(const std::string& route);
    void onConnectionEnd(ConnectionEnd end, UnansweredInput input);
    void setSessions(std::size_t count) { sessions_.Set(static_cast<double>(count)); }
    // Takes what was counted since the process started.
    void setAllowance(const AllowanceTotals& totals);
    void setBufferedBytes(std::size_t bytes) { bufferedBytes_.Set(static_cast<double>(bytes)); }

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& retriesNotRun_;
    prometheus::Family<prometheus::Counter>& exhaustedRetryBudgets_;
    prometheus::Family<prometheus::Counter>& droppedSends_;
    prometheus::Family<prometheus::Counter>& readTooLate_;
    prometheus::Family<prometheus::Counter>& quarantined_;
    prometheus::Family<prometheus::Counter>& connectionEnds_;
    prometheus::Family<prometheus::Histogram>& durations_;
    prometheus::Family<prometheus::Histogram>& firstBytes_;
    prometheus::Counter& admittedCost_;
    prometheus::Counter& refundedCost_;
    prometheus::Counter& refusedCost_;
    prometheus::Counter& admittedRequests_;
    prometheus::Counter& refusedRequests_;
    prometheus::Gauge& limitedTeams_;
    prometheus::Gauge& allocation_;
    AllowanceTotals allowance_;
    prometheus::Family<prometheus::Counter>& reservesApplied_;
    prometheus::Family<prometheus::Counter>& reservedSlotsTaken_;
    prometheus::Family<prometheus::Histogram>& tokenTimes_;
    prometheus::Gauge& sessions_;
    prometheus::Gauge& bufferedBytes_;
    prometheus::Gauge& lag_;
};

} // namespace ragwortwinch
