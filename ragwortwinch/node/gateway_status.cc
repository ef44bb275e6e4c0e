// Status and state dump of a node in gateway mode, for operators.
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

namespace ragwortwinch {

namespace {

constexpr std::size_t maxShownTeamLimits = 100;

} // namespace

Json GatewayNode::teamLimits(Instant now) const
{
    Json teams = Json::array();
    for (const AllowanceStatus& team : forward_->allowance().locked()->status(now, maxShownTeamLimits))
        teams.push_back({{"team", team.team}, {"unit", limitUnitNames.name(team.unit)},
            {"limit_per_s", team.perSecond}, {"burst", team.burst}, {"asked_per_s_here", team.ownDemand},
            {"asked_per_s_at_peers", team.peerDemand}, {"left", team.level},
            {"allocation_per_s", team.allocation}});
    return teams;
}

Json GatewayNode::status(Instant now) const
{
    Json vms = Json::array();
    for (const auto& [name, entry] : vms_.entries()) {
        bool hasHeartbeat = entry.lastHeartbeatAt != Instant::min();
        vms.push_back({{"name", name}, {"availability_zone", entry.info.availabilityZone},
            {"ready", entry.info.isReady}, {"leaving", entry.info.isLeaving},
            {"entry", entry.info.entryAddress.text()},
            {"silent_ms", hasHeartbeat ? (now - entry.lastHeartbeatAt).count() : -1}});
    }
    Json endpoints = Json::array();
    std::map<std::string, EndpointWork> work = forward_->work();
    for (const EndpointRecord& record : endpoints_.records()) {
        auto known = work.find(record.id);
        endpoints.push_back({{"name", record.id}, {"service", record.service},
            {"address", record.address.text()}, {"availability_zone", record.availabilityZone},
            {"role", engineRoleNames.name(record.role)}, {"reclaimable", record.isReclaimable},
            {"running", known == work.end() ? 0 : known->second.running}, {"usable", !record.isDraining},
            {"leaving", record.isDraining}});
    }
    Json quarantine = Json::array();
    for (const auto& [part, until] : quarantine_.quarantinedUntil())
        quarantine.push_back({{"part", partIdText(part)}, {"left_ms", (until - now).count()}});
    return {{"node", settings_.node}, {"ready", isReady_.load()}, {"config_version", configVersion_},
        {"retry_slack", retrySlackPart_}, {"retry_slack_vms", retrySlack_.vmCount()},
        {"store_down", follower_.isStoreLost()}, {"store_era", handledEra_.value_or(0)},
        {"watch_interval_ms", watchInterval_.base().count()},
        {"proof_age_ms", (now - follower_.confirmedAt()).count()}, {"vms", vms}, {"endpoints", endpoints},
        {"quarantine", quarantine}, {"team_limits", teamLimits(now)},
        {"duties", Json::array({duties_->dump(now)})}};
}

Json GatewayNode::dump(Instant now) const
{
    Json state = status(now);
    state["incarnation"] = incarnation_;
    state["draining"] = isDraining_;
    state["store_calls"] = runner_.calls() + watchCalls_;
    state["clock_error_ms"] = clusterClock_.ownErrorMillis();
    state["peers"] = links_.connectedPeers();
    state["peer_bytes_sent"] = links_.bytesSent();
    state["dropped_log_lines"] = droppedLogLines();
    state["broken_invariants"] = brokenInvariants();
    return state;
}

} // namespace ragwortwinch
