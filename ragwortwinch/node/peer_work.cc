#include "ragwortwinch/node/peer_work.h"

namespace ragwortwinch {

void PeerWork::apply(Instant now, const EndpointTable& endpoints)
{
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.receivedAt > digestTtl_; });
    std::map<std::string, EndpointShare> sums;
    for (const auto& peer : peers_) {
        for (const EndpointShare& share : peer.second.shares) {
            EndpointShare& sum = sums[share.endpoint];
            sum.running += share.running;
            sum.pieces += share.pieces;
        }
    }
    for (const EndpointPointer& endpoint : endpoints.all()) {
        const EndpointShare& sum = sums[endpoint->name()];
        endpoint->setPeerWork(sum.running, sum.pieces);
    }
}

} // namespace ragwortwinch
