// Sums the load that peers put on each endpoint, as reported in their digests.
//
//     peerLoad.onReport(now, peer, digest.loads);
//     peerLoad.refresh(now, peer);                   // a heartbeat without a report
//     peerLoad.expire(now);                          // periodically
//     if (peerLoad.takeChanged()) use(peerLoad.sums());
//
// A report costs what it holds, whatever the number of peers. It expires after `reportTtl`: the requests of a
// peer that is silent for that long are assumed to have ended or resumed elsewhere. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/membership/peer_digest.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

class PeerLoad {
public:
    explicit PeerLoad(Millis reportTtl)
        : reportTtl_(reportTtl)
    {
    }
    // Replaces the peer's former report. Endpoints that the report lacks have no load from this peer.
    void onReport(Instant now, const std::string& peer, const std::vector<EndpointLoad>& loads);
    // The peer is alive and its former report, if any, still holds.
    void refresh(Instant now, const std::string& peer);
    void expire(Instant now);
    // Returns whether the sums have changed since the last call.
    bool takeChanged();
    // By endpoint; endpoints without load are absent.
    const std::map<std::string, EndpointLoad>& sums() const { return sums_; }

private:
    struct Report {
        Instant receivedAt;
        std::vector<EndpointLoad> loads;
    };

    // Adds the loads to the sums, `sign` times (1 or -1).
    void add(const std::vector<EndpointLoad>& loads, std::int64_t sign);

    Millis reportTtl_;
    std::map<std::string, Report> reports_;
    std::map<std::string, EndpointLoad> sums_;
    bool hasChanged_ = false;
};

} // namespace ragwortwinch
