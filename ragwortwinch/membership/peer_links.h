// TCP connections to the other nodes: one a pair, framed, with heartbeats.
//
//     PeerLinks links(context, self, address, heartbeat, listener);
//     links.start();
//     links.setAddresses(table.peerAddresses());
//     links.send("bkk-1", frame);
//
// A connection over which nothing comes for several heartbeats is closed and dialed anew, since something
// between the two ends may have lost track of it. All calls and callbacks belong to the thread that runs
// `context`.
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

// Makes and takes what goes over the links.
class PeerListener {
public:
    virtual ~PeerListener() = default;
    // Returns the digest to send now. `peer` is empty while the peer has not said its name.
    virtual PeerDigest makeDigest(const std::string& peer) = 0;
    virtual void onDigest(const std::string& peer, const PeerDigest& digest) = 0;
    virtual void onFrame(const std::string& peer, const PeerFrame& frame) = 0;
};

class PeerLinks {
public:
    PeerLinks(asio::io_context& context, std::string self, SocketAddress address, Millis heartbeat,
        PeerListener& listener);
    ~PeerLinks();

    // Starts to listen; returns an error when the address is taken.
    Result<std::uint16_t> start();
    // Which addresses to keep a connection to.
    void setAddresses(const std::vector<SocketAddress>& addresses);
    // Dials and sends heartbeats; call it often.
    void tick(Instant now);
    // Returns false when there is no connection to the peer.
    bool send(const std::string& peer, const std::string& frame);
    std::set<std::string> connectedPeers() const;
    std::uint64_t bytesSent() const { return bytesSent_; }
    void stop();

private:
    class Session;

    void accept();
    void dial(const SocketAddress& address);
    std::set<std::string> connectedAddresses() const;
    void remove(const std::shared_ptr<Session>& session);
    // Returns false when the session is a second one to the same peer and must close.
    bool identify(const std::shared_ptr<Session>& session, const std::string& peer);

    asio::io_context& context_;
    std::string self_;
    SocketAddress address_;
    Millis heartbeat_;
    PeerListener& listener_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
    std::map<std::string, std::shared_ptr<Session>> byPeer_;
    std::vector<SocketAddress> wanted_;
    // Where each known peer says that it listens, so that a peer which dialed us is not dialed again.
    std::map<std::string, std::string> listeningAt_;
    std::map<std::string, Instant> nextDial_;
    Instant nextHeartbeat_;
    std::uint64_t bytesSent_ = 0;
    bool isStopped_ = false;
};

} // namespace ragwortwinch
