// Sums the load that peers put on each endpoint, as reported in their digests.
//
//     peerLoad.onDigest(now, peer, digest.loads);
//     peerLoad.apply(now, endpoints);
//
// A digest expires after `digestTtl`: the streams of a peer that is silent for that long are assumed to have
// ended or resumed elsewhere. Control thread only.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/membership/peer_digest.h"
#include "ragwortwinch/routing/endpoint_table.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

class PeerLoad {
public:
    explicit PeerLoad(Millis digestTtl)
        : digestTtl_(digestTtl)
    {
    }
    void onDigest(Instant now, const std::string& peer, const std::vector<EndpointLoad>& loads)
    {
        peers_[peer] = {now, loads};
    }
    void apply(Instant now, const EndpointTable& endpoints);

private:
    struct Entry {
        Instant receivedAt;
        std::vector<EndpointLoad> loads;
    };

    Millis digestTtl_;
    std::map<std::string, Entry> peers_;
};

} // namespace ragwortwinch
