// One entry VM's process in gateway mode: forwards requests as they are to endpoints that register themselves
// in the store, under the operators' configuration that stands there too.
//
//     GatewayNode node(settings);
//     Result<void> started = node.start();
//     node.drain();          // on SIGTERM
//     node.waitUntilDrained();
//
// Threads: one forwards requests, one (control) has all protocol state, one makes calls to the store, one
// makes calls under duties, and one each serves readiness, addresses and operators.
#pragma once

#include "ragwortwinch/config/gateway_settings.h"
#include "ragwortwinch/forward/forward_server.h"
#include "ragwortwinch/membership/cluster_clock.h"
#include "ragwortwinch/membership/peer_links.h"
#include "ragwortwinch/membership/vm_registration.h"
#include "ragwortwinch/membership/vm_table.h"
#include "ragwortwinch/node/gateway_duties.h"
#include "ragwortwinch/node/gateway_handlers.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/routing/endpoint_registry.h"
#include "ragwortwinch/store/store_follower.h"
#include "ragwortwinch/usage/usage_flusher.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace ragwortwinch {

class GatewayNode final : private PeerListener {
public:
    explicit GatewayNode(GatewaySettings settings);
    ~GatewayNode() override;

    Result<void> start();
    // Starts a graceful stop. Thread-safe.
    void drain();
    void waitUntilDrained();
    // Takes what may change while the process runs from new settings. Thread-safe.
    void reload(GatewaySettings settings);

    std::uint16_t entryPort() const { return settings_.entryAddress.port; }
    std::uint16_t adminPort() const { return adminServer_->port(); }
    std::uint16_t peerPort() const { return settings_.peerAddress.port; }

private:
    PeerDigest makeDigest(const std::string& peer) override;
    void onDigest(const std::string& peer, const PeerDigest& digest) override;
    void onFrame(const std::string& peer, const PeerFrame& frame) override;

    ForwardOptions makeForwardOptions() const;
    Result<std::unique_ptr<HttpServer>> startServer(
        const SocketAddress& address, std::shared_ptr<HttpHandler> handler);
    void scheduleTick();
    void tick();
    void tickStore(Instant now);
    void onFollowerUpdate(Instant now, const FollowerUpdate& news);
    void onVmList(Instant now, const std::vector<StoreEntry>& entries);
    void onEndpointEntry(Instant now, const std::string& key, const std::string& value);
    // Installs a configuration if it is newer than the one in force.
    void adoptConfig(const std::string& text, const std::string& source);
    void tickMembership(Instant now);
    void tickUsage(Instant now);
    void tickDrain(Instant now);
    std::set<std::string> heardPeers(Instant now) const;
    // Other VMs that could take a duty: those that are heard and reach the store.
    std::set<std::string> dutyCandidates(Instant now) const;
    // What the latest usage windows of this process hold.
    WindowUsage latestUsage(Instant now) const;
    VmInfo selfInfo() const;
    // What the operators' command line shows, with the fields that a node outside of gateway mode has too.
    Json status(Instant now) const;
    Json dump(Instant now) const;

    GatewaySettings settings_;
    SystemClock clock_;
    std::uint64_t incarnation_;
    OpIds opIds_;
    prometheus::Registry registry_;
    ForwardMetrics metrics_;
    ForwardOptions forwardOptions_;
    std::unique_ptr<RequestCodec> codec_;
    TrafficSnapshot traffic_;
    UsageCounter usage_;
    ClusterClock time_;
    std::unique_ptr<ForwardServer> forward_;
    std::unique_ptr<HttpClient> storeClient_;
    std::unique_ptr<WatchableStore> store_;
    Snapshot<VmDirectory> directory_;
    std::atomic<bool> isReady_{false};

    // Everything from here on belongs to the control thread.
    asio::io_context context_;
    asio::steady_timer timer_;
    StoreRunner runner_;
    StoreFollower follower_;
    EndpointRegistry endpoints_;
    VmTable vms_;
    std::map<std::string, VmInfo> listedVms_;
    std::unique_ptr<VmRegistration> registration_;
    PeerLinks links_;
    UsageFlusher flusher_;
    std::unique_ptr<GatewayDuties> duties_;
    std::uint64_t configVersion_ = 0;
    std::string configText_;
    // Of each peer, the work that it has at the endpoints.
    std::map<std::string, std::vector<EndpointLoad>> peerShares_;
    // Peers that said with their last heartbeat that they can't reach the store.
    std::set<std::string> peersWithoutStore_;
    // What VMs told of their usage, by their key in the store.
    std::map<std::string, WindowUsage> toldUsage_;
    std::uint64_t digestSequence_ = 0;
    std::uint64_t storeCalls_ = 0;
    Instant nextConfigRequest_;
    bool isDraining_ = false;
    Instant drainStart_;

    std::mutex endMutex_;
    std::condition_variable ended_;
    bool hasEnded_ = false;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> directoryServer_;
    std::unique_ptr<HttpServer> adminServer_;
    std::thread forwardThread_;
    std::thread controlThread_;
};

} // namespace ragwortwinch
