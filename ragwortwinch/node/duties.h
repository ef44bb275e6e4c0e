// The leased duties of a node: sending orders to the endpoints of each availability zone, reporting usage.
//
//     duties.setZones(zones);
//     duties.tick(now, unixMillis, candidates);
//     duties.order(order, zone);
//
// A node requests a duty's lease only if rendezvous hashing ranks it first among the live nodes, so that
// usually only one node calls the store for a duty. Control thread only.
#pragma once

#include "ragwortwinch/admin/node_control.h"
#include "ragwortwinch/config/settings.h"
#include "ragwortwinch/fleet/order_journal.h"
#include "ragwortwinch/fleet/order_sender.h"
#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/routing/endpoint_table.h"
#include "ragwortwinch/usage/window_closer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

class Duties {
public:
    // All references must outlive this object.
    Duties(const Settings& settings, const std::string& incarnation, asio::io_context& context,
        StoreRunner& runner, OpIds& ids, EndpointTable& endpoints);

    // Adds a duty for each of `zones`, which are the zones that have endpoints.
    void setZones(const std::set<std::string>& zones);
    // `candidates` are the other nodes that could take duties now.
    void tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    // Queues an order in the zone's journal. `Accepted` means that it is queued: it is sent once it is in the
    // store, unless the lease is lost before.
    OrderOutcome order(EndpointOrder order, const std::string& zone);
    // Releases all leases once no order or report is in progress; `isReleased` then becomes true.
    void requestReleaseAll();
    bool isReleased() const;
    Json dump(Instant now) const;

private:
    struct ZoneDuty {
        LeaseKeeper lease;
        OrderJournal journal;
    };

    LeaseOptions leaseOptions() const;
    static bool isPreferredDutyHolder(
        const std::string& duty, const std::string& self, const std::set<std::string>& candidates);
    Authority authorityOf(const LeaseKeeper& lease, Instant now) const;
    // `isSettled` is whether the duty has no unfinished work, so that its lease may be released.
    void tickLease(LeaseKeeper& lease, Instant now, const std::set<std::string>& candidates, bool isSettled);
    void sendOrders(const std::string& zone, ZoneDuty& duty, Instant now);
    void tickUsage(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    LeaseBoundRequest makeOrderRequest(
        const EndpointOrder& order, const std::string& zone, const LeaseKeeper& lease) const;

    const Settings& settings_;
    std::string incarnation_;
    asio::io_context& context_;
    StoreRunner& runner_;
    OpIds& ids_;
    EndpointTable& endpoints_;
    std::map<std::string, std::unique_ptr<ZoneDuty>> zones_;
    LeaseKeeper usageLease_;
    WindowCloser closer_;
    bool isReleasing_ = false;
    // Declared last, so that its thread ends before the members that its callbacks use are destroyed.
    OrderSender sender_;
};

} // namespace ragwortwinch
