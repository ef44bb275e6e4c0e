#include "ragwortwinch/forward/forward_metrics.h"

namespace ragwortwinch {

namespace {

// Bounds in milliseconds, from the latency of a simple service in the same zone to the longest request
// timeout.
const prometheus::Histogram::BucketBoundaries latencyBuckets{
    5, 10, 20, 50, 100, 150, 200, 300, 500, 1000, 2000, 5000, 15000};

// Bounds in milliseconds, from a fast small model to a large one that is slowed several times.
const prometheus::Histogram::BucketBoundaries tokenTimeBuckets{
    2, 5, 8, 10, 15, 20, 30, 50, 75, 100, 200, 500};

prometheus::Family<prometheus::Counter>& counter(
    prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogram(
    prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

ForwardMetrics::ForwardMetrics(prometheus::Registry& registry)
    : requests_(counter(registry, "ragwortwinch_requests_total", "Requests by route and outcome"))
    , attempts_(counter(registry, "ragwortwinch_attempts_total", "Sends to endpoints by service and end"))
    , retries_(counter(registry, "ragwortwinch_repeats_total", "Requests sent once more, by service"))
    , retriesNotRun_(counter(registry, "ragwortwinch_repeats_not_run_total",
          "Requests sent once more after a send that had not run, by service and its end"))
    , exhaustedRetryBudgets_(counter(registry, "ragwortwinch_repeat_budget_empty_total",
          "Requests that were not sent once more because the budget was spent"))
    , droppedSends_(counter(registry, "ragwortwinch_dropped_sends_total",
          "Requests that were not sent because their caller had left, by service"))
    , readTooLate_(counter(registry, "ragwortwinch_read_too_late_total",
          "Requests refused because their time was over when they were read, by route"))
    , quarantined_(counter(registry, "ragwortwinch_quarantined_requests_total",
          "Requests refused for a prompt part that crashes endpoints, by route"))
    , connectionEnds_(counter(registry, "ragwortwinch_caller_connection_ends_total",
          "Ended connections of callers, by why and by what they had received without an answer"))
    , durations_(histogram(registry, "ragwortwinch_request_duration_milliseconds",
          "From the whole request to the answer's end"))
    , firstBytes_(histogram(registry, "ragwortwinch_first_byte_milliseconds",
          "From the whole request to the answer's first byte"))
    , admittedCost_(counter(registry, "ragwortwinch_team_limit_admitted_cost_total",
          "Cost of admitted requests of teams with a limit")
                        .Add({}))
    , refundedCost_(counter(registry, "ragwortwinch_team_limit_refunded_cost_total",
          "Cost of admitted requests of teams with a limit that were not run")
                        .Add({}))
    , refusedCost_(counter(registry, "ragwortwinch_team_limit_refused_cost_total",
          "Cost of requests refused because their team was over its limit")
                       .Add({}))
    , admittedRequests_(counter(registry, "ragwortwinch_team_limit_admitted_requests_total",
          "Admitted requests of teams with a limit")
                            .Add({}))
    , refusedRequests_(counter(registry, "ragwortwinch_team_limit_refused_requests_total",
          "Requests refused because their team was over its limit")
                           .Add({}))
    , limitedTeams_(gauge(registry, "ragwortwinch_limited_teams", "Teams with a limit"))
    , allocation_(gauge(registry, "ragwortwinch_team_limit_allocation",
          "This VM's shares of the limits of all teams, in cost a second"))
    , reservesApplied_(counter(registry, "ragwortwinch_reserve_applied_total",
          "Sends to engines while slots were reserved for more urgent requests, by service"))
    , reservedSlotsTaken_(counter(registry, "ragwortwinch_reserved_slots_taken_total",
          "Requests that took a slot reserved for more urgent ones, since no other was free, by service"))
    , tokenTimes_(histogram(registry, "ragwortwinch_token_milliseconds",
          "Mean time between the events of a stream from an engine, by service"))
    , sessions_(gauge(registry, "ragwortwinch_caller_connections", "Open connections of callers"))
    , bufferedBytes_(gauge(registry, "ragwortwinch_held_bytes", "Requests and answers held in memory"))
    , lag_(gauge(registry, "ragwortwinch_forwarding_lag_milliseconds",
          "How late the forwarding thread handles events"))
{
}

void ForwardMetrics::onRequestEnd(const std::string& route, RequestOutcome outcome, Millis duration)
{
    requests_.Add({{"route", route}, {"outcome", std::string(requestOutcomeNames.name(outcome))}})
        .Increment();
    durations_.Add({{"route", route}}, latencyBuckets).Observe(static_cast<double>(duration.count()));
}

void ForwardMetrics::onFirstByte(const std::string& route, Millis duration)
{
    firstBytes_.Add({{"route", route}}, latencyBuckets).Observe(static_cast<double>(duration.count()));
}

void ForwardMetrics::onAttemptEnd(const std::string& service, AttemptEnd end)
{
    attempts_.Add({{"service", service}, {"end", std::string(attemptEndNames.name(end))}}).Increment();
}

void ForwardMetrics::onRetry(const std::string& service) { retries_.Add({{"service", service}}).Increment(); }

void ForwardMetrics::onRetryNotRun(const std::string& service, AttemptEnd end)
{
    retriesNotRun_.Add({{"service", service}, {"end", std::string(attemptEndNames.name(end))}}).Increment();
}

void ForwardMetrics::onReserveApplied(const std::string& service)
{
    reservesApplied_.Add({{"service", service}}).Increment();
}

void ForwardMetrics::onReservedSlotTaken(const std::string& service)
{
    reservedSlotsTaken_.Add({{"service", service}}).Increment();
}

void ForwardMetrics::onTokenTime(const std::string& service, double millis)
{
    tokenTimes_.Add({{"service", service}}, tokenTimeBuckets).Observe(millis);
}

void ForwardMetrics::onQuarantined(const std::string& route)
{
    quarantined_.Add({{"route", route}}).Increment();
}

void ForwardMetrics::onConnectionEnd(ConnectionEnd end, UnansweredInput input)
{
    connectionEnds_
        .Add({{"end", std::string(connectionEndNames.name(end))},
            {"unanswered", std::string(unansweredInputNames.name(input))}})
        .Increment();
}

void ForwardMetrics::onSendDropped(const std::string& service)
{
    droppedSends_.Add({{"service", service}}).Increment();
}

void ForwardMetrics::onReadTooLate(const std::string& route)
{
    readTooLate_.Add({{"route", route}}).Increment();
}

void ForwardMetrics::setAllowance(const AllowanceTotals& totals)
{
    admittedCost_.Increment(totals.admittedCost - allowance_.admittedCost);
    refundedCost_.Increment(totals.refundedCost - allowance_.refundedCost);
    refusedCost_.Increment(totals.refusedCost - allowance_.refusedCost);
    admittedRequests_.Increment(static_cast<double>(totals.admittedRequests - allowance_.admittedRequests));
    refusedRequests_.Increment(static_cast<double>(totals.refusedRequests - allowance_.refusedRequests));
    limitedTeams_.Set(static_cast<double>(totals.limitedTeams));
    allocation_.Set(totals.allocation);
    allowance_ = totals;
}

void ForwardMetrics::onRetryBudgetEmpty(const std::string& service)
{
    exhaustedRetryBudgets_.Add({{"service", service}}).Increment();
}

} // namespace ragwortwinch
