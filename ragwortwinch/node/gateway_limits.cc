// Limits that all VMs share, in gateway mode: the retry budget, the limits of teams, and the request limits
// of endpoints.
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

void GatewayNode::tickAllowance(Instant now)
{
    // A VM that has neither the store's list nor a peer doesn't know how many share the limits.
    std::size_t peers = livePeers().size();
    if (!hasVmList_ && peers == 0)
        return;
    allowanceVms_.onVmCount(now, hasVmList_ ? limitSharingVms_.size() : peers + 1);
    std::size_t vms = allowanceVms_.vmCount();
    forward_->allowance().locked()->setVmCount(vms, now);
    if (limitedTeams_ == 0 || vms == toldAllowanceVms_)
        return;
    toldAllowanceVms_ = vms;
    LogEvent("team_limits.vms_changed").with("vms", vms).with("teams", limitedTeams_);
}

void GatewayNode::setTeamLimits(Instant now, const std::vector<TrafficTeam>& teams)
{
    std::map<std::string, TeamLimit> limits;
    for (const TrafficTeam& team : teams) {
        if (team.limit)
            limits.emplace(team.name, *team.limit);
    }
    if (limits.size() != limitedTeams_)
        LogEvent("team_limits.adopted").with("teams", limits.size()).with("previous", limitedTeams_);
    limitedTeams_ = limits.size();
    forward_->allowance().locked()->setTeams(limits, now);
}

std::vector<PeerTeamDemand> GatewayNode::ownDemands(Instant now)
{
    std::vector<PeerTeamDemand> demands;
    if (limitedTeams_ == 0)
        return demands;
    for (TeamDemand& demand : forward_->allowance().locked()->takeReports(now))
        demands.push_back(
            {std::move(demand.team), demand.countedSince, demand.admitted, demand.perSecond, demand.level});
    return demands;
}

void GatewayNode::setPeerDemands(Instant now, const std::string& peer, std::uint64_t incarnation,
    const std::vector<PeerTeamDemand>& demands)
{
    std::vector<TeamDemand> reports;
    for (const PeerTeamDemand& demand : demands)
        reports.push_back(
            {demand.team, demand.countedSince, demand.admitted, demand.perSecond, demand.level});
    forward_->allowance().locked()->onReports(peer, incarnation, reports, now);
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
