// Readiness, status, state dump and metrics of a node, for operators.
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/node/node.h"

namespace ragwortwinch {

bool Node::isReady()
{
    return phase_.load() == Phase::Serving && activeConfig_.read()->version > 0 && gate_.isOpen(clock_.now());
}

Json Node::statusJson(Instant now)
{
    Json vms = Json::array();
    for (const auto& entry : vms_.entries()) {
        const VmInfo& vm = entry.second.info;
        bool hasHeartbeat = entry.second.lastHeartbeatAt != Instant::min();
        vms.push_back({{"name", vm.name}, {"availability_zone", vm.availabilityZone}, {"ready", vm.isReady},
            {"leaving", vm.isLeaving}, {"listed", entry.second.isListed},
            {"silent_ms", hasHeartbeat ? (now - entry.second.lastHeartbeatAt).count() : -1}});
    }
    Json endpoints = Json::array();
    for (const EndpointPointer& endpoint : endpoints_.all()) {
        endpoints.push_back({{"name", endpoint->name()}, {"service", endpoint->rule().service},
            {"availability_zone", endpoint->rule().availabilityZone}, {"running", endpoint->running()},
            {"pieces_used", endpoint->kvBlocksUsed()}, {"leaving", endpoint->isLeaving()},
            {"usable", endpoint->isUsable(now, activeConfig_.read()->rules->limits.endpointStateBound)}});
    }
    return {{"node", settings_.node}, {"ready", isReady()}, {"config_version", config_.version()},
        {"store_down", config_.isStoreDown()}, {"word_on_outage_counts", config_.areChangesSettled()},
        {"proof_age_ms", config_.version() ? (now - config_.confirmedAt()).count() : -1}, {"vms", vms},
        {"endpoints", endpoints}, {"duties", duties_->dump(now)}};
}

void Node::status(std::function<void(Json)> onDone)
{
    asio::post(context_, [this, onDone = std::move(onDone)] { onDone(statusJson(clock_.now())); });
}

void Node::dump(std::function<void(Json)> onDone)
{
    asio::post(context_, [this, onDone = std::move(onDone)] {
        Json state = statusJson(clock_.now());
        state["incarnation"] = incarnation_;
        state["queued"] = scheduler_.queued();
        state["active"] = metrics_.active.load();
        state["running_teams"] = scheduler_.runningByTeam();
        state["retry_budget_hundredths"] = retries_.availableHundredths();
        state["prefix_entries"] = prefixes_.size();
        state["peers"] = links_.connectedPeers();
        state["peer_bytes_sent"] = links_.bytesSent();
        state["store_calls"] = runner_.calls();
        state["usage_flushed"] = flusher_.hasFlushed(usage_.totals());
        state["broken_invariants"] = brokenInvariants();
        onDone(std::move(state));
    });
}

MetricValues Node::metrics()
{
    MetricValues values;
    auto count = [&](const char* name, const std::atomic<std::uint64_t>& counter) {
        values.counters[name] = static_cast<double>(counter.load());
    };
    count("requests", metrics_.requests);
    count("answers_whole", metrics_.completed);
    count("refused_not_run", metrics_.refusedNotRun);
    count("outcome_unknown", metrics_.outcomeUnknown);
    count("answers_cut", metrics_.truncated);
    count("retries", metrics_.retries);
    count("resumes", metrics_.resumes);
    count("replays", metrics_.replays);
    count("callers_gone", metrics_.callerDisconnects);
    count("mismatched_answers", metrics_.mismatchedAnswers);
    count("output_tokens", metrics_.tokens);
    values.counters["broken_invariants"] = static_cast<double>(brokenInvariants());
    values.gauges["active_requests"] = static_cast<double>(metrics_.active.load());
    values.gauges["queued_requests"] = static_cast<double>(scheduler_.queued());
    values.gauges["config_version"] = static_cast<double>(activeConfig_.read()->version);
    values.gauges["ready"] = isReady() ? 1 : 0;
    for (const EndpointPointer& endpoint : endpoints_.all())
        values.endpointRunning[endpoint->name()] = static_cast<double>(endpoint->ownRunning());
    return values;
}

} // namespace ragwortwinch
