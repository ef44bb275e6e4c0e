// The work that peers have at each endpoint, from their digests.
//
//     peerWork.onDigest(now, peer, digest.shares);
//     peerWork.apply(now, endpoints);
//
// A peer that has fallen silent counts no more after `silenceBound`: its streams have ended or go on
// elsewhere. Belongs to the control thread.
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
    explicit PeerLoad(Millis silenceBound)
        : silenceBound_(silenceBound)
    {
    }
    void onDigest(Instant now, const std::string& peer, const std::vector<EndpointLoad>& loads)
    {
        peers_[peer] = {now, loads};
    }
    void apply(Instant now, const EndpointTable& endpoints);

private:
    struct Entry {
        Instant heardAt;
        std::vector<EndpointLoad> loads;
    };

    Millis silenceBound_;
    std::map<std::string, Entry> peers_;
};

} // namespace ragwortwinch
