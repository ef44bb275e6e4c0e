#include "ragwortwinch/node/peer_load.h"

namespace ragwortwinch {

void PeerLoad::apply(Instant now, const EndpointTable& endpoints)
{
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heardAt > silenceBound_; });
    std::map<std::string, EndpointLoad> sums;
    for (const auto& peer : peers_) {
        for (const EndpointLoad& share : peer.second.loads) {
            EndpointLoad& sum = sums[share.endpoint];
            sum.running += share.running;
            sum.kvBlocks += share.kvBlocks;
        }
    }
    for (const EndpointPointer& endpoint : endpoints.all()) {
        const EndpointLoad& sum = sums[endpoint->name()];
        endpoint->setPeerLoad(sum.running, sum.kvBlocks);
    }
}

} // namespace ragwortwinch
