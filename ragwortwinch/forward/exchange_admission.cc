// Admission of a request: its route, team, deadline, the team's limit and the service.
#include "ragwortwinch/forward/exchange.h"
#include "ragwortwinch/forward/http_status.h"

#include <algorithm>
#include <fmt/format.h>

namespace ragwortwinch {

bool Exchange::admit()
{
    traffic_ = *context_.traffic.read();
    if (!traffic_) {
        refuse(ErrorKind::NotReady, "this VM has no configuration yet; try again or use another VM");
        return false;
    }
    route_ = traffic_->findRoute(request_->host(), request_->path());
    if (!route_) {
        reject(statusNotFound, ErrorKind::NoRoute,
            fmt::format(
                "no route for this host and path in version {} of the configuration", traffic_->version()));
        return false;
    }
    Millis unread = std::max(request_->unreadFor, context_.lag.lag(startedAt_));
    deadline_ = startedAt_ + std::min(request_->caller.timeLimit.value_or(route_->timeout), route_->timeout)
        - unread;
    if (traffic_->hasTeams() && !route_->isOpen) {
        team_ = traffic_->findTeam(request_->caller.key);
        if (!team_) {
            reject(statusUnauthorized, ErrorKind::Unauthorized,
                fmt::format(
                    "the key is not in version {} of the configuration; ask the operators for a valid one",
                    traffic_->version()));
            return false;
        }
    }
    if (request_->caller.id.empty()) {
        reject(statusBadRequest, ErrorKind::BadRequest, "the request has no id; send one with each try");
        return false;
    }
    if (unread.count() > 0 && deadline_ <= startedAt_) {
        context_.metrics.onReadTooLate(route_->name);
        refuse(ErrorKind::NoCapacity,
            "this VM read the request when its time was over; it was not run, use another VM");
        return false;
    }
    bool mayOutliveDrain
        = context_.drain && startedAt_ >= context_.drain->acceptAllUntil && deadline_ >= context_.drain->end;
    if (mayOutliveDrain) {
        refuse(ErrorKind::Draining, "this VM is stopping; the request was not run, use another VM");
        return false;
    }
    if (!admitByLimit())
        return false;
    traits_ = RequestTraits(*request_);
    chooseService();
    context_.retryBudgetOf(service_).onRequest(startedAt_);
    if (isForEngines())
        context_.slotReserve->onRequest(service_, priority(), startedAt_);
    return true;
}

bool Exchange::admitByLimit()
{
    if (!team_ || !team_->limit)
        return true;
    const TeamLimit& limit = *team_->limit;
    double cost = 1;
    if (limit.unit == LimitUnit::Tokens)
        cost = request_->caller.hasTokenCounts
            ? static_cast<double>(request_->caller.promptTokens + request_->caller.maxOutputTokens)
            : limit.plainCost;
    AdmissionDecision decision = context_.allowance.locked()->admit(team_->name, cost, startedAt_);
    if (decision.isAdmitted) {
        charged_ = cost;
        return true;
    }
    sendLocalReply(statusTooManyRequests, ErrorKind::OverLimit,
        fmt::format("the team is over its limit of {:.0f} {} a second and a burst of {:.0f}, and the request "
                    "costs {:.0f}; it was not run",
            limit.perSecond, limitUnitNames.name(limit.unit), limit.burst, cost),
        decision.retryAfter);
    finish(RequestOutcome::Refused, statusTooManyRequests);
    return false;
}

void Exchange::chooseService()
{
    const std::vector<ServiceShare>& shares = route_->services;
    std::int64_t total = 0;
    for (const ServiceShare& share : shares)
        total += share.weight;
    std::int64_t point = total > 0 ? static_cast<std::int64_t>(std::hash<std::string>()(request_->caller.id)
                             % static_cast<std::uint64_t>(total))
                                   : 0;
    for (const ServiceShare& share : shares) {
        service_ = share.service;
        point -= share.weight;
        if (point < 0)
            return;
    }
}

} // namespace ragwortwinch
