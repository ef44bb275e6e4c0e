// One node's protocol classes under virtual time: the same classes as the daemon's, with pauses and crashes.
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

// The times of a run; short, so that a schedule holds many of them.
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
    void setPartitioned(bool value) { isPartitioned_ = value; }
    bool isPartitioned() const { return isPartitioned_; }
    bool isRunning() const;
    void tick();

    void submitOrder(EndpointOrder order);
    void publish(const std::string& changeId);
    void count(std::int64_t requests);
    void book(const std::string& booking, const std::string& attempt);
    void receivePeerStatus(const PeerConfigStatus& peerStatus);
    // What this node tells `peer`, for a heartbeat that it heard from it at `echoed`.
    PeerConfigStatus peerStatus(Instant peerSentAt) const;
    void checkServing(const std::set<std::string>& others);

    // Whether this process believes that it may give orders, or report usage, now.
    bool holdsFleetLease() const { return state_ && state_->fleetLease.isHeld(time_.now()); }
    bool holdsUsageLease() const { return state_ && state_->usageLease.isHeld(time_.now()); }
    const std::string& name() const { return name_; }
    std::uint64_t version() const { return state_ ? state_->config.version() : 0; }
    // What crashes have lost at most.
    std::int64_t maxLostRequests() const { return maxLostRequests_; }

private:
    // All that dies with the process.
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
    // Runs `action` on the process as it is now, once it is not paused; not after a crash.
    void whenRunning(std::function<void(State&)> action);
    void runStoreOps(StoreOps ops, OnAnswer onAnswer);
    Authority authorityOf(const LeaseKeeper& lease) const;
    // Sends under authority: with a pause between check and send now and then.
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
