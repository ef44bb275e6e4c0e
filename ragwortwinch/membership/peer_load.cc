#include "ragwortwinch/membership/peer_load.h"

#include <utility>

namespace ragwortwinch {

void PeerLoad::add(const std::vector<EndpointLoad>& loads, std::int64_t sign)
{
    for (const EndpointLoad& load : loads) {
        EndpointLoad& sum = sums_[load.endpoint];
        sum.endpoint = load.endpoint;
        sum.running += sign * load.running;
        sum.kvBlocks += sign * load.kvBlocks;
        sum.promptTokens += sign * load.promptTokens;
        sum.latePromptTokens += sign * load.latePromptTokens;
        bool isIdle
            = sum.running == 0 && sum.kvBlocks == 0 && sum.promptTokens == 0 && sum.latePromptTokens == 0;
        if (isIdle)
            sums_.erase(load.endpoint);
        hasChanged_ = true;
    }
}

void PeerLoad::onReport(Instant now, const std::string& peer, const std::vector<EndpointLoad>& loads)
{
    Report& report = reports_[peer];
    report.receivedAt = now;
    if (report.loads == loads)
        return;
    add(report.loads, -1);
    report.loads = loads;
    add(report.loads, 1);
}

void PeerLoad::refresh(Instant now, const std::string& peer)
{
    auto report = reports_.find(peer);
    if (report != reports_.end())
        report->second.receivedAt = now;
}

void PeerLoad::expire(Instant now)
{
    for (auto report = reports_.begin(); report != reports_.end();) {
        if (now - report->second.receivedAt <= reportTtl_) {
            ++report;
            continue;
        }
        add(report->second.loads, -1);
        report = reports_.erase(report);
    }
}

bool PeerLoad::takeChanged() { return std::exchange(hasChanged_, false); }

} // namespace ragwortwinch
