// Connects the quarantine of prompt parts to the forwarding path, the peers and the store.
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"

namespace ragwortwinch {

void GatewayNode::onCrash(const EndpointCrash& crash, bool isConfirmed)
{
    asio::post(
        context_, [this, crash, isConfirmed] { quarantine_.onCrash(clock_.now(), crash, isConfirmed); });
}

void GatewayNode::onAnswered(TraitId trait, Instant at)
{
    asio::post(context_, [this, trait, at] { quarantine_.onAnswered(clock_.now(), trait, at); });
}

void GatewayNode::tickQuarantine(Instant now)
{
    runner_.run(quarantine_.tick(now, livePeers()),
        [this](Instant at, const StoreAnswer& answer) { return quarantine_.onAnswer(at, answer); });
    std::set<std::string> connected = links_.connectedPeers();
    std::erase_if(informedPeers_, [&connected](const std::pair<const std::string, std::uint64_t>& peer) {
        return !connected.contains(peer.first);
    });
    if (std::optional<QuarantineNews> news = quarantine_.takeNews()) {
        std::string frame = encodeFrame(PeerMessageKind::QuarantineNews, encodeQuarantineNews(*news, now));
        for (const std::string& peer : connected)
            links_.send(peer, frame);
    }
    if (quarantine_.takeChanged())
        forward_->setQuarantine(quarantine_.quarantinedUntil(), quarantine_.suspectedParts());
}

void GatewayNode::sendAllQuarantineNews(const std::string& peer, std::uint64_t incarnation)
{
    auto informed = informedPeers_.find(peer);
    if (informed != informedPeers_.end() && informed->second == incarnation)
        return;
    informedPeers_[peer] = incarnation;
    QuarantineNews news = quarantine_.allNews();
    if (!news.isEmpty())
        links_.send(
            peer, encodeFrame(PeerMessageKind::QuarantineNews, encodeQuarantineNews(news, clock_.now())));
}

void GatewayNode::onQuarantineNews(const std::string& peer, const std::string& payload)
{
    Instant now = clock_.now();
    if (std::optional<QuarantineNews> news = decodeQuarantineNews(payload, now))
        quarantine_.onNews(now, peer, *news);
    else
        LogEvent("peer.bad_quarantine_news", Severity::Warning)
            .with("peer", peer)
            .with("bytes", payload.size());
}

} // namespace ragwortwinch
