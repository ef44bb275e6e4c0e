// Runs the protocol classes of ragwortwinchd as one node under virtual time, with pauses, crashes and
// partitions from the store.
//
//     VirtualNode node("n0", time, store, environment, random);
//     node.tick();                  // at a short, regular interval
//     node.pause(Millis(500));
//
// All references must outlive the node. Not thread-safe.
#pragma once

#include "ragwortwinch/config/config_publisher.h"
#include "ragwortwinch/config/config_tracker.h"
#include "ragwortwinch/dispatch/idempotency_claim.h"
#include "ragwortwinch/fleet/order_journal.h"
#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/usage/usage_flusher.h"
#include "ragwortwinch/usage/window_closer.h"
#include "testing/protocol/simulated_environment.h"
#include "testing/protocol/virtual_store.h"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace ragwortwinch::protocol {

// Short, so that one schedule contains many lease terms and usage windows.
inline constexpr Millis leaseTtl{1000};
inline constexpr Millis clockMargin{100};
inline constexpr Millis sendBound{600};
inline constexpr Millis usageWindow{2000};
inline constexpr Millis freshnessBound{1000};

class VirtualNode {
public:
    VirtualNode(std::string name, VirtualTime& time, VirtualStore& store, SimulatedEnvironment& environment,
        std::mt19937_64& random);

    void pause(Millis length);
    void crash(Millis downtime);
    // While set, all requests of the node to the store are lost; its heartbeats are not.
    void setPartitioned(bool value) { isPartitioned_ = value; }
    bool isPartitioned() const { return isPartitioned_; }
    bool isRunning() const;
    void tick();

    void submitOrder(EndpointOrder order);
    void publish(const std::string& changeId);
    void count(std::int64_t requests);
    void book(const std::string& booking, const std::string& attempt);
    void receivePeerStatus(const PeerConfigStatus& peerStatus);
    // Returns this node's status for a peer, echoing the heartbeat that the peer sent at `peerSentAt`.
    PeerConfigStatus peerStatus(Instant peerSentAt) const;
    // Reports the version in use to the environment if the node would serve keyed requests now. `others` are
    // the names of all other nodes.
    void checkServing(const std::set<std::string>& others);

    // Whether this process considers its lease for endpoint orders, or for usage reports, valid now.
    bool holdsFleetLease() const { return state_ && state_->fleetLease.isHeld(time_.now()); }
    bool holdsUsageLease() const { return state_ && state_->usageLease.isHeld(time_.now()); }
    const std::string& name() const { return name_; }
    std::uint64_t version() const { return state_ ? state_->config.version() : 0; }
    // Upper bound on the counted requests that crashes of this node have lost.
    std::int64_t maxLostRequests() const { return maxLostRequests_; }

private:
    // The memory of the process, lost in a crash.
    struct State {
        State(const std::string& name, const std::string& incarnation);
        OpIds ids;
        LeaseKeeper fleetLease;
        OrderJournal journal;
        LeaseKeeper usageLease;
        WindowCloser closer;
        ConfigTracker config;
        UsageFlusher flusher;
        WindowUsage totals;
        std::uint64_t lastVersion = 0;
    };
    using OnAnswer = std::function<StoreOps(State&, const StoreAnswer&)>;

    void start();
    // Runs `action` on the current process as soon as it is not paused; drops it if the process crashes
    // first.
    void whenRunning(std::function<void(State&)> action);
    // Sends `ops` to the store, and recursively the operations that `onAnswer` returns.
    void runStoreOps(StoreOps ops, OnAnswer onAnswer);
    Authority authorityOf(const LeaseKeeper& lease) const;
    // Sends if at least `sendBound` is left until `authorityEnd`; sometimes pauses the process between this
    // check and the send, which fails after `authorityEnd`.
    void sendUnderLease(Instant authorityEnd, std::function<SendOutcome()> deliver,
        std::function<void(State&, SendOutcome)> onResult);
    void dispatchBooking(const std::shared_ptr<IdempotencyClaim>& claim, const std::string& booking,
        const std::string& attempt);
    void tickReport(State& state);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Millis delay(std::int64_t least, std::int64_t most)
    {
        return Millis(std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }

    std::string name_;
    VirtualTime& time_;
    VirtualStore& store_;
    SimulatedEnvironment& environment_;
    std::mt19937_64& random_;
    std::shared_ptr<State> state_;
    int incarnation_ = 0;
    Instant pausedUntil_;
    bool isPartitioned_ = false;
    std::int64_t maxLostRequests_ = 0;
};

} // namespace ragwortwinch::protocol
