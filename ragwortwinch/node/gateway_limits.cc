// Limits that all VMs share, in gateway mode: the retry budget, and the request limits of endpoints.
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Stands in a digest for an endpoint that no longer names a request limit.
constexpr double noPeerLimit = -1;
// Ages in a digest are clamped to this; larger ones could overflow sums with the clock.
constexpr Millis maxLimitAge{24 * 3600 * 1000};

} // namespace

void GatewayNode::tickRetryBudget(Instant now)
{
    if (!hasVmList_)
        return;
    std::set<std::string> vms = knownVms();
    if (vms != limitSharingVms_) {
        limitSharingVms_ = vms;
        forward_->setVms(vms);
    }
    retrySlack_.onVmCount(now, vms.size());
    double part = retrySlack_.part(now);
    if (part == retrySlackPart_)
        return;
    retrySlackPart_ = part;
    LogEvent("retry_budget.part_changed").with("vms", retrySlack_.vmCount()).with("slack", part);
    forward_->setRetrySlack(part);
}

std::vector<PeerLimit> GatewayNode::peerLimits(Instant now) const
{
    std::vector<PeerLimit> limits;
    for (const EndpointLimitReport& report : forward_->limits())
        limits.push_back({report.endpoint, report.incarnation,
            report.observation.perSecond.value_or(noPeerLimit), (now - report.observation.at).count()});
    return limits;
}

void GatewayNode::setPeerLimits(Instant now, const std::vector<PeerLimit>& limits)
{
    std::vector<EndpointLimitReport> reports;
    for (const PeerLimit& limit : limits) {
        RequestLimitObservation observation;
        if (limit.perSecond >= 0)
            observation.perSecond = limit.perSecond;
        observation.at = now - Millis(std::clamp<std::int64_t>(limit.ageMillis, 0, maxLimitAge.count()));
        reports.push_back({limit.endpoint, limit.incarnation, observation});
    }
    forward_->setPeerLimits(std::move(reports));
}

} // namespace ragwortwinch
