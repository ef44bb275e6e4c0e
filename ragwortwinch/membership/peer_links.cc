#include "ragwortwinch/membership/peer_links.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/membership/peer_heartbeat.h"

#include <array>
#include <deque>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ragwortwinch {

namespace {

// Heartbeats have 40 bytes. With 64 KB, the buffers of 299 peers took 19 MB of the 120 MB of a small VM.
constexpr std::size_t readBufferBytes = 8 * 1024;
// A connection with more bytes queued is closed, since the peer isn't reading.
constexpr std::size_t maxQueuedBytes = 2 * maxPeerFrameBytes;
// A connection on which nothing arrives for this many heartbeat intervals is closed.
constexpr int silentHeartbeats = 6;
constexpr std::size_t maxSessions = 2000;

} // namespace

class PeerLinks::Session : public std::enable_shared_from_this<Session> {
public:
    Session(PeerLinks& links, asio::ip::tcp::socket socket, bool isDialed, std::string dialedAddress)
        : links_(links)
        , socket_(std::move(socket))
        , isDialed_(isDialed)
        , dialedAddress_(std::move(dialedAddress))
        , lastReceivedAt_(SystemClock().now())
    {
    }

    void start()
    {
        asio::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        unsigned int timeoutMillis
            = static_cast<unsigned int>((links_.heartbeat_ * silentHeartbeats).count());
        setsockopt(
            socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMillis, sizeof(timeoutMillis));
        isOpen_ = true;
        sendDigest();
        if (links_.listener_.usesHeartbeats())
            send(encodeCapabilities());
        read();
    }

    void connect(const asio::ip::tcp::endpoint& endpoint)
    {
        std::shared_ptr<Session> self = shared_from_this();
        socket_.async_connect(endpoint, [self](const asio::error_code& error) {
            if (error || self->isClosed_)
                self->close();
            else
                self->start();
        });
    }

    void sendDigest()
    {
        if (isOpen_)
            send(encodeDigest(links_.listener_.makeDigest(peer_)));
    }

    void send(std::string frame)
    {
        if (!isOpen_ || isClosed_)
            return;
        queuedBytes_ += frame.size();
        if (queuedBytes_ > maxQueuedBytes) {
            close();
            return;
        }
        links_.queuedBytes_ += frame.size();
        queue_.push_back(std::move(frame));
        if (queue_.size() == 1)
            write();
    }

    void close()
    {
        if (isClosed_)
            return;
        isClosed_ = true;
        for (const std::string& frame : queue_)
            links_.queuedBytes_ -= frame.size();
        asio::error_code ignored;
        socket_.close(ignored);
        links_.remove(shared_from_this());
    }

    // Whether the peer understands the small heartbeats.
    bool takesHeartbeats() const { return takesHeartbeats_; }
    bool takesStoreNews() const { return takesStoreNews_; }
    bool isDialed() const { return isDialed_; }
    bool isOpen() const { return isOpen_; }
    const std::string& peer() const { return peer_; }
    const std::string& dialedAddress() const { return dialedAddress_; }
    Instant lastReceivedAt() const { return lastReceivedAt_; }

private:
    void read()
    {
        std::shared_ptr<Session> self = shared_from_this();
        socket_.async_read_some(
            asio::buffer(buffer_), [self](const asio::error_code& error, std::size_t size) {
                if (error || self->isClosed_) {
                    self->close();
                    return;
                }
                self->lastReceivedAt_ = SystemClock().now();
                self->reader_.append(std::string_view(self->buffer_.data(), size));
                self->processFrames();
                if (!self->isClosed_)
                    self->read();
            });
    }

    void processFrames()
    {
        while (std::optional<PeerFrame> frame = reader_.next()) {
            if (!processFrame(*frame)) {
                close();
                return;
            }
        }
        if (reader_.isBroken()) {
            LogEvent("peer.broken", Severity::Warning).with("peer", peer_).with("problem", reader_.problem());
            close();
        }
    }

    // Returns false if the connection must be closed.
    bool processFrame(const PeerFrame& frame)
    {
        if (frame.kind != PeerMessageKind::Digest) {
            // The first frame must be a digest, which names the peer.
            if (peer_.empty())
                return false;
            if (frame.kind == PeerMessageKind::Capabilities)
                onCapabilities(frame.payload);
            else
                links_.listener_.onFrame(peer_, frame);
            return true;
        }
        std::optional<PeerDigest> digest = decodeDigest(frame.payload);
        if (!digest) {
            LogEvent("peer.bad_digest", Severity::Warning).with("peer", peer_);
            return false;
        }
        if (peer_.empty()) {
            peer_ = digest->sender.name;
            if (!links_.identify(shared_from_this(), peer_))
                return false;
        }
        links_.listenAddresses_[peer_] = digest->sender.peerAddress.text();
        links_.listener_.onDigest(peer_, *digest);
        return true;
    }

    void onCapabilities(std::string_view payload)
    {
        takesStoreNews_ = links_.listener_.usesHeartbeats() && announcesStoreNews(payload);
        if (takesHeartbeats_ || !links_.listener_.usesHeartbeats() || !decodeCapabilities(payload))
            return;
        // News that was sent to the others since this connection's first digest.
        sendDigest();
        takesHeartbeats_ = true;
    }

    void write()
    {
        std::shared_ptr<Session> self = shared_from_this();
        asio::async_write(
            socket_, asio::buffer(queue_.front()), [self](const asio::error_code& error, std::size_t size) {
                if (error || self->isClosed_) {
                    self->close();
                    return;
                }
                self->links_.bytesSent_ += size;
                self->queuedBytes_ -= size;
                self->links_.queuedBytes_ -= size;
                self->queue_.pop_front();
                if (!self->queue_.empty())
                    self->write();
            });
    }

    PeerLinks& links_;
    asio::ip::tcp::socket socket_;
    bool isDialed_;
    std::string dialedAddress_;
    std::string peer_;
    Instant lastReceivedAt_;
    bool isOpen_ = false;
    bool isClosed_ = false;
    bool takesHeartbeats_ = false;
    bool takesStoreNews_ = false;
    std::array<char, readBufferBytes> buffer_{};
    PeerFrameReader reader_;
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
};

PeerLinks::PeerLinks(asio::io_context& context, std::string self, SocketAddress address, Millis heartbeat,
    PeerListener& listener)
    : context_(context)
    , self_(std::move(self))
    , address_(std::move(address))
    , heartbeat_(heartbeat)
    , listener_(listener)
    , acceptor_(context)
{
}

PeerLinks::~PeerLinks() = default;

Result<std::uint16_t> PeerLinks::start()
{
    try {
        asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.host), address_.port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        address_.port = acceptor_.local_endpoint().port();
        accept();
        return address_.port;
    } catch (const std::exception& failure) {
        return makeError(ErrorKind::BadSettings,
            fmt::format("can't listen for peers on {}: {}; choose an address of this VM and a free port",
                address_.text(), failure.what()));
    }
}

void PeerLinks::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (isStopped_ || error == asio::error::operation_aborted)
            return;
        if (!error && sessions_.size() < maxSessions) {
            auto session = std::make_shared<Session>(*this, std::move(socket), false, std::string());
            sessions_.insert(session);
            session->start();
        }
        accept();
    });
}

void PeerLinks::setAddresses(const std::vector<SocketAddress>& addresses) { targetAddresses_ = addresses; }

void PeerLinks::dial(const SocketAddress& address)
{
    auto session = std::make_shared<Session>(*this, asio::ip::tcp::socket(context_), true, address.text());
    sessions_.insert(session);
    session->connect(asio::ip::tcp::endpoint(asio::ip::make_address(address.host), address.port));
}

std::set<std::string> PeerLinks::connectedAddresses() const
{
    std::set<std::string> addresses;
    for (const auto& entry : byPeer_) {
        auto found = listenAddresses_.find(entry.first);
        if (found != listenAddresses_.end())
            addresses.insert(found->second);
    }
    return addresses;
}

void PeerLinks::tick(Instant now)
{
    if (isStopped_ || now < nextHeartbeat_)
        return;
    nextHeartbeat_ = now + heartbeat_;
    closeSilent(now);
    dialMissing(now);
    sendHeartbeats();
}

void PeerLinks::closeSilent(Instant now)
{
    std::vector<std::shared_ptr<Session>> silent;
    for (const std::shared_ptr<Session>& session : sessions_) {
        if (now - session->lastReceivedAt() > heartbeat_ * silentHeartbeats)
            silent.push_back(session);
    }
    for (const std::shared_ptr<Session>& session : silent) {
        LogEvent("peer.silent", Severity::Warning)
            .with("peer", session->peer())
            .with("address", session->dialedAddress());
        session->close();
    }
}

void PeerLinks::dialMissing(Instant now)
{
    std::set<std::string> present = connectedAddresses();
    for (const std::shared_ptr<Session>& session : sessions_)
        present.insert(session->dialedAddress());
    for (const SocketAddress& address : targetAddresses_) {
        std::string text = address.text();
        Instant& next = nextDial_[text];
        if (address == address_ || present.contains(text) || now < next)
            continue;
        next = now + heartbeat_ * 2;
        dial(address);
    }
}

void PeerLinks::sendHeartbeats()
{
    std::string heartbeat = listener_.makeHeartbeat();
    std::vector<std::shared_ptr<Session>> open(sessions_.begin(), sessions_.end());
    for (const std::shared_ptr<Session>& session : open) {
        if (session->takesHeartbeats())
            session->send(heartbeat);
        else
            session->sendDigest();
    }
}

bool PeerLinks::send(const std::string& peer, const std::string& frame)
{
    auto found = byPeer_.find(peer);
    if (found == byPeer_.end())
        return false;
    found->second->send(frame);
    return true;
}

bool PeerLinks::takesStoreNews(const std::string& peer) const
{
    auto found = byPeer_.find(peer);
    return found != byPeer_.end() && found->second->takesStoreNews();
}

std::set<std::string> PeerLinks::connectedPeers() const
{
    std::set<std::string> peers;
    for (const auto& entry : byPeer_)
        peers.insert(entry.first);
    return peers;
}

void PeerLinks::remove(const std::shared_ptr<Session>& session)
{
    sessions_.erase(session);
    auto found = byPeer_.find(session->peer());
    if (found != byPeer_.end() && found->second == session) {
        LogEvent("peer.disconnected").with("peer", session->peer());
        byPeer_.erase(found);
    }
}

bool PeerLinks::identify(const std::shared_ptr<Session>& session, const std::string& peer)
{
    if (peer == self_)
        return false;
    auto found = byPeer_.find(peer);
    if (found == byPeer_.end()) {
        byPeer_[peer] = session;
        LogEvent("peer.connected").with("peer", peer);
        return true;
    }
    // Both ends keep the connection dialed by the node with the smaller name. If both connections were dialed
    // by the same node, they keep the newer, since the older may belong to a process that has exited.
    bool isPreferred = session->isDialed() == (self_ < peer);
    if (!isPreferred && found->second->isDialed() != session->isDialed())
        return false;
    std::shared_ptr<Session> old = found->second;
    found->second = session;
    old->close();
    return true;
}

void PeerLinks::stop()
{
    isStopped_ = true;
    asio::error_code ignored;
    acceptor_.close(ignored);
    std::vector<std::shared_ptr<Session>> open(sessions_.begin(), sessions_.end());
    for (const std::shared_ptr<Session>& session : open)
        session->close();
}

} // namespace ragwortwinch
