// The process of an entry VM: connects the components and runs them on their threads.
//
//     Node node(settings);
//     Result<void> started = node.start();
//     node.drain();          // on SIGTERM
//     node.waitUntilDrained();
//
// Threads: request threads (RESTinio), one for the operators' port, two of libcurl clients (one for forwarded
// requests, one for platform calls and load polls), one that sends orders and usage reports, and the control
// thread, which owns all protocol state.
#pragma once

#include "ragwortwinch/admin/node_control.h"
#include "ragwortwinch/config/config_publisher.h"
#include "ragwortwinch/config/config_tracker.h"
#include "ragwortwinch/config/settings.h"
#include "ragwortwinch/entry/entry_handler.h"
#include "ragwortwinch/membership/peer_links.h"
#include "ragwortwinch/membership/peer_load.h"
#include "ragwortwinch/membership/platform_list.h"
#include "ragwortwinch/membership/vm_table.h"
#include "ragwortwinch/node/duties.h"
#include "ragwortwinch/node/heartbeat_echoes.h"
#include "ragwortwinch/node/load_poller.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/routing/scoring_router.h"
#include "ragwortwinch/usage/usage_flusher.h"

#include <asio.hpp>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace ragwortwinch {

class Node final : public NodeControl, private PeerListener {
public:
    explicit Node(Settings settings);
    ~Node() override;

    // Opens the entry, operators' and peer ports and starts all threads.
    Result<void> start();
    // Blocks until a drain has been started and has ended.
    void waitUntilDrained();

    std::uint16_t entryPort() const { return entryServer_->port(); }
    std::uint16_t adminPort() const { return adminServer_->port(); }
    std::uint16_t peerPort() const { return settings_.peerAddress.port; }

    bool isReady() override;
    void dump(std::function<void(Json)> onDone) override;
    void status(std::function<void(Json)> onDone) override;
    MetricValues metrics() override;
    void currentConfig(std::function<void(std::uint64_t, const std::string&)> onDone) override;
    void applyConfig(std::string text, std::uint64_t expectedVersion, std::string changeId,
        std::function<void(ApplyOutcome)> onDone) override;
    void order(EndpointOrder order, std::function<void(OrderOutcome)> onDone) override;
    void drain() override;

private:
    enum class Phase {
        Serving,
        // Not in new address lists; callers may still use an earlier list that contains this node.
        Leaving,
        // Waits until running requests end, leases are released and usage is stored, or `finishBy_` passes.
        Finishing,
        Ended,
    };

    PeerDigest makeDigest(const std::string& peer) override;
    void onDigest(const std::string& peer, const PeerDigest& digest) override;
    void onFrame(const std::string& peer, const PeerFrame& frame) override;

    void scheduleTick();
    void tick();
    void tickConfig(Instant now);
    // Returns whether enough live nodes of this availability zone precede this one by name: those read the
    // store, so this one may rely on peers' confirmations.
    bool hasEnoughStoreReaders(Instant now) const;
    void install(const AcceptedConfig& config);
    void tickMembership(Instant now);
    void pollVmList(Instant now);
    void onVmList(const std::string& body);
    void markLeaving(const std::map<std::string, std::uint64_t>& incarnations);
    void tickUsage(Instant now);
    void tickPeerLoad(Instant now);
    void tickDrain(Instant now);
    bool hasFinished();
    DispatchContext dispatchContext();
    VmInfo selfInfo() const;
    Json statusJson(Instant now);

    Settings settings_;
    SystemClock clock_;
    std::uint64_t incarnation_;
    OpIds opIds_;
    RandomIds attemptIds_;
    std::unique_ptr<HttpClient> upstream_;
    std::unique_ptr<HttpClient> platform_;
    std::unique_ptr<KeyValueStore> store_;
    EndpointTable endpoints_;
    PrefixIndex prefixes_;
    ScoringRouter router_;
    Scheduler scheduler_;
    RetryBudget retries_;
    UsageCounter usage_;
    DispatchMetrics metrics_;
    Snapshot<ActiveConfig> activeConfig_;
    Snapshot<VmDirectory> directory_;
    KeyedRequestGate gate_;

    // The members up to `finishBy_` are used by the control thread only.
    asio::io_context context_;
    asio::steady_timer timer_;
    StoreRunner runner_;
    VmTable vms_;
    ConfigTracker config_;
    UsageFlusher flusher_;
    PeerLinks links_;
    PeerLoad peerLoad_;
    LoadPoller poller_;
    std::unique_ptr<Duties> duties_;
    HeartbeatEchoes echoes_;
    Instant nextVmPoll_;
    Instant leaveUntil_;
    Instant finishBy_;

    std::atomic<Phase> phase_{Phase::Serving};
    std::mutex endMutex_;
    std::condition_variable ended_;
    std::shared_ptr<EntryHandler> entryHandler_;
    std::unique_ptr<HttpServer> entryServer_;
    std::unique_ptr<HttpServer> adminServer_;
    std::thread controlThread_;
};

} // namespace ragwortwinch
