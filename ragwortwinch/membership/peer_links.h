// Framed TCP connections to the other nodes, one for each pair of nodes, with heartbeats.
//
//     PeerLinks links(context, self, address, heartbeat, listener);
//     links.start();
//     links.setAddresses(table.peerAddresses());
//     links.send("bkk-1", frame);
//
// Each end sends a digest first. After that, heartbeats are digests too, unless both ends use the small ones
// of peer_heartbeat.h, which are made once for all peers.
//
// A connection on which nothing arrives for several heartbeat intervals is closed and dialed again, since a
// middlebox may have dropped its state. All calls and callbacks run on the thread that runs `context`.
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/socket_address.h"
#include "ragwortwinch/membership/peer_message.h"

#include <asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

// Provides the digests to send and handles received messages.
class PeerListener {
public:
    virtual ~PeerListener() = default;
    // Returns the digest to send now. `peer` is empty until the peer has identified itself.
    virtual PeerDigest makeDigest(const std::string& peer) = 0;
    virtual void onDigest(const std::string& peer, const PeerDigest& digest) = 0;
    // Returns the frames of a heartbeat to peers that understand them; see peer_heartbeat.h. Nothing by
    // default: each heartbeat is a digest.
    virtual std::string makeHeartbeat() { return {}; }
    virtual bool usesHeartbeats() const { return false; }
    virtual void onFrame(const std::string& peer, const PeerFrame& frame) = 0;
};

class PeerLinks {
public:
    PeerLinks(asio::io_context& context, std::string self, SocketAddress address, Millis heartbeat,
        PeerListener& listener);
    ~PeerLinks();

    // Starts listening and returns the port, or an error if the address can't be bound.
    Result<std::uint16_t> start();
    // Sets the addresses to stay connected to.
    void setAddresses(const std::vector<SocketAddress>& addresses);
    // Closes silent connections, and dials missing ones and sends heartbeats at the heartbeat interval. Call
    // it more often than that.
    void tick(Instant now);
    // Returns false if there is no connection to the peer.
    bool send(const std::string& peer, const std::string& frame);
    std::set<std::string> connectedPeers() const;
    // Whether the peer is connected and understands changes from the store (store_news.h).
    bool takesStoreNews(const std::string& peer) const;
    std::uint64_t bytesSent() const { return bytesSent_; }
    // Bytes that wait to be sent, over all connections.
    std::size_t queuedBytes() const { return queuedBytes_; }
    void stop();

private:
    // One connection.
    class Session;

    void accept();
    void dial(const SocketAddress& address);
    void closeSilent(Instant now);
    void dialMissing(Instant now);
    void sendHeartbeats();
    std::set<std::string> connectedAddresses() const;
    void remove(const std::shared_ptr<Session>& session);
    // Returns false if the session must be closed: it leads to this node or duplicates one to the same peer.
    bool identify(const std::shared_ptr<Session>& session, const std::string& peer);

    asio::io_context& context_;
    std::string self_;
    SocketAddress address_;
    Millis heartbeat_;
    PeerListener& listener_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
    std::map<std::string, std::shared_ptr<Session>> byPeer_;
    std::vector<SocketAddress> targetAddresses_;
    // The address that each peer listens on, so that a peer that dialed this node is not dialed too.
    std::map<std::string, std::string> listenAddresses_;
    std::map<std::string, Instant> nextDial_;
    Instant nextHeartbeat_;
    std::uint64_t bytesSent_ = 0;
    std::size_t queuedBytes_ = 0;
    bool isStopped_ = false;
};

} // namespace ragwortwinch
