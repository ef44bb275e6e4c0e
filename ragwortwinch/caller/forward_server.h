// Serves callers on one VM: accepts connections, forwards their requests, and drains them before a stop.
//
//     ForwardServer server(codec, clock, ...);
//     Result<std::uint16_t> port = server.listen(address);
//     server.run();                              // on the forwarding thread
//     server.setEndpoints(records, regions);     // any thread
//     server.beginDrain(start, end);             // any thread
//     server.closeListener();                    // any thread, after callers have newer addresses
//     while (!server.isDrained()) ...            // any thread
//
// `listen` is called before `run`. All other public functions except `run` may be called from any thread.
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/caller/caller_session.h"
#include "ragwortwinch/config/socket_address.h"
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

// A request limit, or its end, that a VM has read in the replies of an endpoint.
struct EndpointLimitReport {
    std::string endpoint;
    std::int64_t incarnation = 0;
    RequestLimitObservation observation;
};

class ForwardServer final : private SessionOwner {
public:
    // All referenced objects must outlive the server.
    ForwardServer(const RequestCodec& codec, const Clock& clock, const ForwardOptions& options,
        TrafficSnapshot& traffic, UsageCounter& usage, std::function<std::int64_t()> clusterUnixMillis,
        std::unique_ptr<EndpointChooser> chooser, ForwardMetrics& metrics);
    ~ForwardServer() override;

    // Returns the port, which is chosen by the system if `address` has port 0.
    Result<std::uint16_t> listen(const SocketAddress& address);
    // Serves until `stop`.
    void run();
    void stop();

    // `regions` maps each availability zone to its region.
    void setEndpoints(std::vector<EndpointRecord> records, std::map<std::string, std::string> regions);
    // Sets the load from other VMs, by endpoint id.
    void setPeerLoad(std::map<std::string, EndpointWork> work);
    // Sets this VM's part of the retry budget's slack, for each service.
    void setRetrySlack(double slack);
    // Sets the names of all VMs, with this one, which share the request limits of endpoints.
    void setVms(std::set<std::string> vms);
    // Applies request limits that a peer has read in endpoints' replies.
    void setPeerLimits(std::vector<EndpointLimitReport> reports);
    // Returns the request limits that this VM has read in endpoints' replies; updated every 100 ms.
    std::vector<EndpointLimitReport> limits() const;
    // The limits of teams. Thread-safe.
    LockedTeamAllowance& allowance() { return allowance_; }
    // Sets who receives crashes of endpoints, on the forwarding thread. Call it before `run`.
    void setCrashListener(CrashListener* listener) { context_.crashes.setListener(listener); }
    // Sets the prompt parts in quarantine, and those of which answers are reported to the listener.
    void setQuarantine(std::map<TraitId, Instant> quarantinedUntil, std::set<TraitId> suspected);
    // Returns the load from this VM, by endpoint id; updated every 100 ms.
    std::map<std::string, EndpointWork> work() const;
    // How far the forwarding thread was behind at most in the last second.
    Millis recentLag() const { return Millis(recentLagMillis_.load()); }
    // From now on each reply that begins announces the end of its connection. From
    // `ForwardOptions::drainGrace` after `start`, when the stop was ordered, requests whose deadline isn't
    // before `end` are refused.
    void beginDrain(Instant start, Instant end);
    // Accepts the connections that the kernel has queued, then stops listening. After `beginDrain`, each
    // connection that is left serves at most one more request after the one in progress, so the server ends
    // up without any.
    void closeListener();
    // Closes connections that have waited for a request for at least `minIdle` and have no unread bytes.
    void closeIdleSessions(Millis minIdle);
    // Ends the requests in progress: interrupts streams, answers the others with what is known of them.
    void endRequests();
    // Reports the connections that will end with the process; returns when that is done or `wait` is over.
    void reportProcessEnd(Millis wait);
    // True once the listener is closed and the last connection has ended: no request can be read any more.
    bool isDrained() const { return isDrained_.load(); }
    // Number of connections with a request in progress or being closed; updated every 100 ms.
    std::size_t sessionsWithRequests() const { return sessionsWithRequests_.load(); }

private:
    void onSessionEnd(const std::shared_ptr<CallerSession>& session) override;
    bool isDraining() const override { return isDraining_.load(std::memory_order_relaxed); }

    void accept();
    // Accepts connections that the kernel has queued, at most `most`. Returns how many; `error` says why it
    // stopped before.
    std::size_t acceptQueued(std::size_t most, boost::system::error_code& error);
    // Ends the stalled requests that hold most memory, except that of `charge`, until `bytes` are released.
    bool endStalledRequests(const MemoryCharge& charge, std::size_t bytes);
    void addSession(boost::asio::ip::tcp::socket socket);
    // Closes an idle connection of the address with the most if this one has fewer. Returns whether it did.
    bool makeRoomFor(const std::string& address);
    void updateDrained();
    void scheduleSweep();
    void sweep();
    void checkLag();
    // Updates the metrics and writes the log lines on teams that are over their limit.
    void checkAllowance();
    // Computes the parts of request limits that have changed.
    void updateLimitParts(const std::vector<UpstreamPointer>& endpoints);

    // Outlives `io_`, whose destructor destroys sessions.
    MemoryAccount memory_;
    boost::asio::io_context io_{1};
    const ForwardOptions& options_;
    ForwardMetrics& metrics_;
    std::unique_ptr<EndpointChooser> chooser_;
    EndpointDirectory endpoints_;
    RequestLog log_;
    LockedTeamAllowance allowance_;
    Instant nextAllowanceCheck_;
    ForwardContext context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweepTimer_;
    boost::asio::steady_timer acceptTimer_;
    // True while an accept is pending or its handler has not run yet.
    bool isAccepting_ = false;
    std::set<std::shared_ptr<CallerSession>> sessions_;
    // Numbers of sessions.
    std::map<std::string, std::size_t> sessionsByAddress_;
    std::set<std::string> vms_;
    // When stalled requests were last looked for in vain.
    Instant noStalledAt_;
    std::atomic<bool> isDraining_{false};
    std::atomic<bool> isDrained_{false};
    std::atomic<std::size_t> sessionsWithRequests_{0};
    std::atomic<std::int64_t> recentLagMillis_{0};
    mutable std::mutex workMutex_;
    std::map<std::string, EndpointWork> work_;
    std::vector<EndpointLimitReport> limits_;
};

} // namespace ragwortwinch
