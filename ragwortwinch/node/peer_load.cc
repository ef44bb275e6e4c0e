#include "ragwortwinch/node/peer_load.h"

namespace ragwortwinch {

void PeerLoad::apply(Instant now, const EndpointTable& endpoints)
{
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.receivedAt > digestTtl_; });
    std::map<std::string, EndpointLoad> sums;
    for (const auto& peer : peers_) {
        for (const EndpointLoad& load : peer.second.loads) {
            EndpointLoad& sum = sums[load.endpoint];
            sum.running += load.running;
            sum.kvBlocks += load.kvBlocks;
        }
    }
    for (const EndpointPointer& endpoint : endpoints.all()) {
        const EndpointLoad& sum = sums[endpoint->name()];
        endpoint->setPeerLoad(sum.running, sum.kvBlocks);
    }
}

} // namespace ragwortwinch
