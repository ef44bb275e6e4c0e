// The leased duty that one VM at a time holds in gateway mode: reporting usage, and ordering the number of
// endpoints and the roles of engines.
//
//     duties.tick(now, unixMillis, candidates);
//     duties.requestLeaseRelease();       // before a planned stop
//
// A VM requests the lease only if rendezvous hashing ranks it first among the live VMs. Control thread only.
#pragma once

#include "ragwortwinch/config/gateway_settings.h"
#include "ragwortwinch/fleet/endpoint_count_planner.h"
#include "ragwortwinch/fleet/order_sender.h"
#include "ragwortwinch/fleet/role_planner.h"
#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/usage/window_closer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class GatewayDuties {
public:
    // All references must outlive this object.
    GatewayDuties(const GatewaySettings& settings, const std::string& incarnation, asio::io_context& context,
        StoreRunner& runner, OpIds& ids, HttpClient& client);

    // `candidates` are the other VMs that could take the duty now.
    void tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    // Sets the usage that a VM reported in a heartbeat; `key` is the key of its usage in the store.
    void setDirectTotals(const std::string& key, WindowUsage totals)
    {
        closer_.setDirectTotals(key, std::move(totals));
    }
    // Sets those of its totals that have grown.
    void addDirectTotals(const std::string& key, const WindowUsage& totals)
    {
        closer_.addDirectTotals(key, totals);
    }
    // The store named its era for the first time, or came back from an older copy. `seenAtUnixMillis` is when
    // it was first seen in this era.
    void onStoreEra(Instant now, std::uint64_t era, std::int64_t seenAtUnixMillis);
    // Takes what a peer knows about reported usage windows, and when it first saw the era.
    void onPeerProgress(
        const UsageProgress& progress, std::optional<std::uint64_t> era, std::int64_t eraSeenAtUnixMillis)
    {
        closer_.onPeerProgress(progress, era, eraSeenAtUnixMillis);
    }
    const UsageProgress& usageProgress() const { return closer_.progress(); }
    std::int64_t eraSeenAtUnixMillis() const { return closer_.eraSeenAtUnixMillis(); }
    // Sets the current services and endpoints for the planners.
    void setServices(std::vector<ServiceRule> services) { services_ = std::move(services); }
    void setEndpoints(std::vector<EndpointRecord> records) { records_ = std::move(records); }
    // Releases the lease once nothing is being sent; `isReleased` then becomes true.
    void requestLeaseRelease() { isReleasing_ = true; }
    bool isReleased() const { return lease_.state() == LeaseState::Idle; }
    Json dump(Instant now) const;

private:
    Authority authority(Instant now) const;
    void tickLease(Instant now, const std::set<std::string>& candidates);
    void reportUsage(Instant now, std::int64_t unixMillis);
    void planFleet(Instant now);
    void sendCountOrder(const EndpointCountOrder& order);
    // Reads the engine's report, since the order carries the number of orders accepted before it, then calls
    // `sendRoleOrder` unless the engine is busy or already has the role.
    void startRoleOrder(const RoleOrder& order);
    void sendRoleOrder(const RoleOrder& order, std::int64_t expectedOrders);

    const GatewaySettings& settings_;
    asio::io_context& context_;
    StoreRunner& runner_;
    LeaseKeeper lease_;
    WindowCloser closer_;
    HttpClient& client_;
    EndpointCountPlanner countPlanner_;
    RolePlanner rolePlanner_;
    std::vector<ServiceRule> services_;
    std::vector<EndpointRecord> records_;
    // The lease epoch in which the planners were last reset.
    std::uint64_t plannedEpoch_ = 0;
    Instant nextPlan_;
    bool isReleasing_ = false;
    // Declared last, so that its thread ends before the members that its callbacks use are destroyed.
    OrderSender sender_;
};

// Returns whether rendezvous hashing ranks `self` before all `candidates` for a duty.
bool isPreferredDutyHolder(
    const std::string& duty, const std::string& self, const std::set<std::string>& candidates);

} // namespace ragwortwinch
