// Serves callers on one VM: accepts connections, forwards their requests, and drains them before a stop.
//
//     ForwardServer server(context_parts...);
//     Result<std::uint16_t> port = server.listen(address);
//     server.run();                              // on the forwarding thread
//     server.setEndpoints(records, regions);     // any thread
//     server.beginDrain(lastIdleClose);          // any thread
//
// All public functions but `run` may be called from any thread.
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/config/socket_address.h"
#include "ragwortwinch/forward/caller_session.h"
#include "ragwortwinch/forward/forward_context.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class ForwardServer final : private SessionOwner {
public:
    // All references outlive the server.
    ForwardServer(const RequestCodec& codec, const Clock& clock, const ForwardOptions& options,
        TrafficSnapshot& traffic, UsageCounter& usage, std::function<std::int64_t()> trueUnixMillis,
        std::unique_ptr<EndpointChooser> chooser, ForwardMetrics& metrics);
    ~ForwardServer() override;

    Result<std::uint16_t> listen(const SocketAddress& address);
    // Serves until `stop`.
    void run();
    void stop();

    void setEndpoints(std::vector<EndpointRecord> records, std::map<std::string, std::string> regions);
    // The work of the other VMs at each endpoint, by id.
    void setPeerLoad(std::map<std::string, EndpointWork> work);
    // The work of this VM at each endpoint, by id; a fraction of a second old.
    std::map<std::string, EndpointWork> work() const;
    // From now on each answer closes its connection. Requests that may last until `end` are refused after a
    // while.
    void beginDrain(Instant end);
    // Closes connections without a request, and answers new requests with "not run".
    void closeIdleSessions();
    std::size_t sessionsWithRequests() const { return busySessions_.load(); }

private:
    void onSessionEnd(const std::shared_ptr<CallerSession>& session) override;
    bool reserve(std::size_t bytes) override;
    void release(std::size_t bytes) override { heldBytes_ -= bytes; }
    bool isDraining() const override { return isDraining_.load(std::memory_order_relaxed); }

    void accept();
    void scheduleSweep();
    void sweep();

    boost::asio::io_context io_{1};
    const ForwardOptions& options_;
    ForwardMetrics& metrics_;
    std::unique_ptr<EndpointChooser> chooser_;
    EndpointDirectory endpoints_;
    RequestLog log_;
    ForwardContext context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweepTimer_;
    boost::asio::steady_timer acceptTimer_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
    std::size_t heldBytes_ = 0;
    std::atomic<bool> isDraining_{false};
    std::atomic<std::size_t> busySessions_{0};
    mutable std::mutex workMutex_;
    std::map<std::string, EndpointWork> work_;
};

} // namespace ragwortwinch
