#include "testing/protocol/simulated_environment.h"

#include "ragwortwinch/base/json.h"

#include <fmt/format.h>

namespace ragwortwinch::protocol {

void SimulatedEnvironment::onStoreWrite(const StoreOp& op, Instant now)
{
    if (op.key.starts_with("orders/")) {
        Json journal = parseJsonOrDiscard(op.value);
        for (const Json& order : journal["orders"])
            journaled_[static_cast<std::uint64_t>(integerMember(order, "number"))]
                = stringMember(order, "endpoint") + "=" + stringMember(order, "argument");
    }
    if (op.key == configHeadKey) {
        std::optional<ConfigHead> head = parseConfigHead(op.value);
        if (!head || head->version != head_.version + 1)
            addViolation("the version of the configuration head did not increase by one");
        if (head) {
            head_ = *head;
            acceptedChanges_.insert(head->changeId);
            acceptedAt_[head->version] = now;
        }
    }
}

SendOutcome SimulatedEnvironment::receiveOrder(const EndpointOrder& order)
{
    Receiver& receiver = receivers_[order.isToPlatform() ? "platform" : order.endpoint];
    bool isStale = order.epoch < receiver.greatestEpoch;
    if (isStale && order.endpoint == checkingEndpoint && !order.isToPlatform())
        return SendOutcome::Refused;
    if (isStale)
        addViolation(fmt::format("stale order: {} received number {} of epoch {} after epoch {}",
            order.endpoint, order.number, order.epoch, receiver.greatestEpoch));
    if (order.number < receiver.latest.number)
        addViolation(fmt::format("order out of sequence: {} received number {} after {}", order.endpoint,
            order.number, receiver.latest.number));
    if (order.number == receiver.latest.number && order.argument != receiver.latest.argument)
        addViolation(fmt::format("conflicting order: {} received number {} with two different arguments",
            order.endpoint, order.number));
    auto journaled = journaled_.find(order.number);
    if (journaled == journaled_.end() || journaled->second != order.endpoint + "=" + order.argument)
        addViolation(fmt::format("order {} was sent but is not in the journal", order.number));
    receiver.greatestEpoch = std::max(receiver.greatestEpoch, order.epoch);
    receiver.latest = order;
    received_.insert(order.number);
    return SendOutcome::Applied;
}

SendOutcome SimulatedEnvironment::receiveReport(WindowId window, const std::string& body, std::uint64_t epoch)
{
    if (epoch < reportEpoch_)
        addViolation(
            fmt::format("stale report: window {} of epoch {} after epoch {}", window, epoch, reportEpoch_));
    reportEpoch_ = std::max(reportEpoch_, epoch);
    auto inserted = reports_.emplace(window, body);
    if (!inserted.second && inserted.first->second != body)
        addViolation(fmt::format("window {} was reported with different figures", window));
    return SendOutcome::Applied;
}

void SimulatedEnvironment::receiveBooking(const std::string& booking, const std::string& attempt)
{
    attemptsThatRan_.insert(attempt);
    if (++runsOfBooking_[booking] > 1)
        addViolation(fmt::format("booking {} ran {} times", booking, runsOfBooking_[booking]));
}

void SimulatedEnvironment::onCallerAnswered(const std::string& attempt, RunState reportedState)
{
    if (reportedState == RunState::NotRun)
        answeredNotRun_.push_back(attempt);
}

void SimulatedEnvironment::onOperatorAnswered(const std::string& changeId, PublishState reportedState)
{
    publishAnswers_[changeId] = reportedState;
}

void SimulatedEnvironment::onServedKeyed(std::uint64_t version, Instant now, Millis maxStaleness)
{
    auto next = acceptedAt_.upper_bound(version);
    if (next != acceptedAt_.end() && now - next->second > maxStaleness)
        addViolation(fmt::format("keyed requests ran on version {} {} ms after version {} was accepted",
            version, (now - next->second).count(), next->first));
}

void SimulatedEnvironment::checkFinalState(
    const std::vector<std::uint64_t>& versions, std::int64_t minCounted, std::int64_t maxCounted)
{
    for (const auto& entry : journaled_) {
        if (!received_.contains(entry.first))
            addViolation(fmt::format("journaled order {} was lost", entry.first));
    }
    for (const std::string& attempt : answeredNotRun_) {
        if (attemptsThatRan_.contains(attempt))
            addViolation("a caller received `not run`, but the request ran");
    }
    for (const auto& entry : publishAnswers_) {
        bool isInForce = acceptedChanges_.contains(entry.first);
        if (entry.second == PublishState::Accepted && !isInForce)
            addViolation("an operator received `accepted`, but the change is not in force");
        if ((entry.second == PublishState::NotAccepted || entry.second == PublishState::Conflict)
            && isInForce)
            addViolation("an operator received `not accepted` or `conflict`, but the change is in force");
    }
    for (std::uint64_t version : versions) {
        if (version != head_.version)
            addViolation(fmt::format("a node has version {}, but {} is in force", version, head_.version));
    }
    std::int64_t reported = 0;
    for (const auto& report : reports_) {
        Json body = parseJsonOrDiscard(report.second);
        for (const char* part : {"figures", "carry_over"}) {
            for (const auto& team : teamUsageFromJson(body[part]))
                reported += team.second.requests;
        }
    }
    if (reported < minCounted || reported > maxCounted)
        addViolation(fmt::format(
            "usage: {} requests were reported, {} to {} were counted", reported, minCounted, maxCounted));
}

} // namespace ragwortwinch::protocol
