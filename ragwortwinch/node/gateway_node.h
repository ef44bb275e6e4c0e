// The process of an entry VM in gateway mode. Forwards requests unchanged to endpoints that register in the
// store, according to the operators' configuration in the store.
//
//     GatewayNode node(settings);
//     Result<void> started = node.start();
//     node.drain();          // on SIGTERM
//     node.waitUntilDrained();
//
// Threads: one forwards requests, one (control) owns all protocol state, one makes calls to the store and
// reads engines' reports, one sends orders and usage reports, and one each serves the readiness, directory
// and operators' ports.
#pragma once

#include "ragwortwinch/caller/forward_server.h"
#include "ragwortwinch/config/gateway_settings.h"
#include "ragwortwinch/membership/cluster_clock.h"
#include "ragwortwinch/membership/peer_heartbeat.h"
#include "ragwortwinch/membership/peer_links.h"
#include "ragwortwinch/membership/peer_load.h"
#include "ragwortwinch/membership/shared_limit.h"
#include "ragwortwinch/membership/vm_registration.h"
#include "ragwortwinch/membership/vm_table.h"
#include "ragwortwinch/node/gateway_duties.h"
#include "ragwortwinch/node/gateway_handlers.h"
#include "ragwortwinch/node/store_news_metrics.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/quarantine/request_quarantine.h"
#include "ragwortwinch/routing/endpoint_registry.h"
#include "ragwortwinch/store/store_follower.h"
#include "ragwortwinch/store/store_news_receiver.h"
#include "ragwortwinch/store/store_news_sender.h"
#include "ragwortwinch/store/watch_interval.h"
#include "ragwortwinch/usage/usage_flusher.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

namespace ragwortwinch {

class GatewayNode final : private PeerListener, private CrashListener {
public:
    explicit GatewayNode(GatewaySettings settings);
    ~GatewayNode() override;

    Result<void> start();
    // Starts a graceful shutdown. Thread-safe.
    void drain();
    void waitUntilDrained();
    // Applies those of the new settings that can change at run time. Thread-safe.
    void reload(GatewaySettings settings);

    std::uint16_t entryPort() const { return settings_.entryAddress.port; }
    std::uint16_t adminPort() const { return adminServer_->port(); }
    std::uint16_t peerPort() const { return settings_.peerAddress.port; }

private:
    PeerDigest makeDigest(const std::string& peer) override;
    void onDigest(const std::string& peer, const PeerDigest& digest) override;
    std::string makeHeartbeat() override;
    bool usesHeartbeats() const override { return true; }
    void onFrame(const std::string& peer, const PeerFrame& frame) override;
    // Both run on the forwarding thread.
    void onCrash(const EndpointCrash& crash, bool isConfirmed) override;
    void onAnswered(TraitId trait, Instant at) override;

    ForwardOptions makeForwardOptions() const;
    Result<std::unique_ptr<HttpServer>> startServer(
        const SocketAddress& address, std::shared_ptr<HttpHandler> handler);
    void scheduleTick();
    void tick();
    void tickStore(Instant now);
    // Starts all work with the store anew: it named its era for the first time, or was restored from an older
    // copy. `source` is who told it.
    void onStoreEra(Instant now, const std::string& source);
    void onHeartbeat(Instant now, const std::string& peer, const PeerHeartbeat& heartbeat);
    void onNews(Instant now, const std::string& peer, const PeerNews& news);
    // What every kind of heartbeat says of the peer's clock, its store and its configuration.
    void onPeerState(Instant now, const std::string& peer, std::int64_t unixMillis, bool isStoreDown,
        std::uint64_t configVersion);
    // Returns what has changed since the last call, each kind at its own rate.
    PeerNews takeNews(Instant now);
    std::optional<StoreEraNews> storeEraNews() const;
    // Takes the store's era and the usage reports that a peer knows.
    void onPeerStoreNews(Instant now, const std::string& peer, const std::optional<StoreEraNews>& news);
    void logRestoredStore(const FollowerUpdate& firstList);
    void onFollowerUpdate(Instant now, const FollowerUpdate& update);
    void onVmList(Instant now, const std::vector<StoreEntry>& entries);
    // Apply a list or a change of keys that are shared with the VMs of the zone.
    void onSharedList(Instant now, const FollowerUpdate& update);
    // Returns whether it changed what this VM knows.
    bool onSharedChange(Instant now, const StoreEvent& event);
    bool onEndpointEntry(Instant now, const std::string& key, const std::string& value);
    // Applies what the follower has received since the last call.
    void applyStoreUpdates(Instant now);
    // Passes on the endpoints if they have changed.
    void publishEndpoints(Instant now);
    // Determines the watch interval and the VMs with which this one shares what it reads.
    void tickStoreNews(Instant now);
    void sendStoreNews(Instant now);
    void onStoreNews(Instant now, const std::string& peer, const std::string& payload);
    // Returns the VMs that are registered or live, including this one.
    std::set<std::string> knownVms() const;
    double randomFraction();
    // Installs a configuration if it is newer than the active one.
    void adoptConfig(const std::string& text, const std::string& source);
    void tickMembership(Instant now);
    // Passes the peers' load on to the forwarding thread, at most once per `peerLoadInterval`.
    void updatePeerLoad(Instant now);
    // Returns the request limits of endpoints that this VM has read, for its digests.
    std::vector<PeerLimit> peerLimits(Instant now) const;
    // Returns this VM's load on each endpoint.
    std::vector<EndpointLoad> ownLoads() const;
    // Applies request limits of endpoints from a peer's digest.
    void setPeerLimits(Instant now, const std::vector<PeerLimit>& limits);
    void tickRetryBudget(Instant now);
    // Passes the number of VMs on to the limits of teams.
    void tickAllowance(Instant now);
    std::vector<PeerTeamDemand> ownDemands(Instant now);
    void setPeerDemands(Instant now, const std::string& peer, std::uint64_t incarnation,
        const std::vector<PeerTeamDemand>& demands);
    // Installs the limits of teams of a new configuration.
    void setTeamLimits(Instant now, const std::vector<TrafficTeam>& teams);
    void tickQuarantine(Instant now);
    void onQuarantineNews(const std::string& peer, const std::string& payload);
    // Tells a peer that has connected or restarted everything that it may have missed.
    void sendAllQuarantineNews(const std::string& peer, std::uint64_t incarnation);
    void tickUsage(Instant now);
    void tickDrain(Instant now);
    // Returns the other VMs that are live and not leaving, as of the current tick.
    const std::set<std::string>& livePeers() const { return livePeers_; }
    std::set<std::string> findLivePeers(Instant now) const;
    // Returns the other VMs that could take a duty: those that are live and reach the store.
    std::set<std::string> dutyCandidates() const;
    // Returns the usage of this process in its latest windows.
    WindowUsage latestUsage(Instant now) const;
    VmInfo selfInfo() const;
    // Returns the state that the operators' command line shows; field names are those of a node outside
    // gateway mode.
    Json status(Instant now) const;
    Json teamLimits(Instant now) const;
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
    ClusterClock clusterClock_;
    std::unique_ptr<ForwardServer> forward_;
    std::unique_ptr<HttpClient> storeClient_;
    std::unique_ptr<WatchableStore> store_;
    Snapshot<VmDirectory> directory_;
    Snapshot<AdoptedConfig> adoptedConfig_;
    std::atomic<bool> isReady_{false};
    std::atomic<bool> isStopOrdered_{false};

    // The members up to `drainStart_` are used by the control thread only.
    asio::io_context context_;
    asio::steady_timer timer_;
    StoreRunner runner_;
    StoreFollower follower_;
    WatchInterval watchInterval_;
    StoreNewsReceiver newsReceiver_;
    StoreNewsSender newsSender_;
    StoreNewsMetrics newsMetrics_;
    // The live VMs of this zone that understand changes from the store.
    std::vector<std::string> newsPeers_;
    Instant nextNewsPeers_;
    Instant nextPublication_;
    std::minstd_rand random_;
    // The last store era before the current one, and the revision known in it, until the restored store has
    // been listed.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> beforeRestore_;
    std::optional<std::uint64_t> handledEra_;
    bool hasSeenRestore_ = false;
    prometheus::Gauge& storeEraGauge_;
    EndpointRegistry endpoints_;
    // The values by which the registered endpoints are known, by id; see platform/endpoint_heartbeat.h. An
    // endpoint may be missing. 1 MB at 3,000 endpoints.
    std::unordered_map<std::string, std::string> endpointValues_;
    VmTable vms_;
    // The VMs registered in the store, by name.
    std::map<std::string, VmInfo> storedVms_;
    // Determined once in each tick, since four of its steps need it.
    std::set<std::string> livePeers_;
    // Whether the store's list of VMs has been read.
    bool hasVmList_ = false;
    SharedLimit retrySlack_;
    double retrySlackPart_ = 0;
    // Only its number of VMs is used.
    SharedLimit allowanceVms_;
    std::size_t limitedTeams_ = 0;
    // The number of VMs in the last log line on it.
    std::size_t toldAllowanceVms_ = 0;
    // The VMs that the forwarding thread knows, for request limits.
    std::set<std::string> limitSharingVms_;
    std::unique_ptr<VmRegistration> registration_;
    PeerLinks links_;
    RequestQuarantine quarantine_;
    // Incarnations of the connected peers that were told everything about the quarantine.
    std::map<std::string, std::uint64_t> informedPeers_;
    UsageFlusher flusher_;
    std::unique_ptr<GatewayDuties> duties_;
    std::uint64_t configVersion_ = 0;
    // The frame that tells a peer the active configuration.
    std::string configFrame_;
    PeerLoad peerLoad_;
    Instant nextPeerLoadUpdate_;
    // Peers whose last heartbeat reported that they can't reach the store.
    std::set<std::string> peersWithoutStore_;
    std::uint64_t digestSequence_ = 0;
    // What the peers were told in the latest news.
    std::vector<EndpointLoad> toldLoads_;
    Instant nextLoads_;
    WindowUsage toldUsage_;
    Instant nextUsage_;
    // Endpoints and incarnations, and when their limit was read.
    std::map<std::pair<std::string, std::int64_t>, Instant> toldLimits_;
    std::optional<StoreEraNews> toldStoreEra_;
    std::uint64_t watchCalls_ = 0;
    Instant nextConfigRequest_;
    bool isDraining_ = false;
    Instant drainStart_;
    bool hasEndedRequests_ = false;

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
