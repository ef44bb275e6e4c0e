// The duties that this node holds or could take: giving orders in an availability zone, reporting usage.
//
//     duties.setZones(zones);
//     duties.tick(now, unixMillis, candidates);
//     duties.order(order, zone);
//
// A node tries for a duty only when it is the first of those it hears, by rendezvous hashing, so that a duty
// has one regular taker and the others make no calls. Belongs to the control thread.
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
    // All references outlive the object.
    Duties(const Settings& settings, const std::string& incarnation, asio::io_context& context,
        StoreRunner& runner, OpIds& ids, EndpointTable& endpoints);

    // The zones that have endpoints.
    void setZones(const std::set<std::string>& zones);
    // `candidates` are the nodes that could take duties now, this one included.
    void tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    OrderOutcome order(EndpointOrder order, const std::string& zone);
    // Gives back all leases once nothing is under way; `isReleased` tells when.
    void releaseAll();
    bool isReleased() const;
    Json dump(Instant now) const;

private:
    struct ZoneDuty {
        LeaseKeeper lease;
        OrderJournal journal;
    };

    LeaseOptions leaseOptions() const;
    static bool isFirst(
        const std::string& duty, const std::string& self, const std::set<std::string>& candidates);
    Authority authorityOf(const LeaseKeeper& lease, Instant now) const;
    void tickLease(LeaseKeeper& lease, Instant now, const std::set<std::string>& candidates, bool isSettled);
    void sendOrders(const std::string& zone, ZoneDuty& duty, Instant now);
    void tickUsage(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    LeaseBoundRequest makeSend(
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
    // Last, so that its thread ends before what its callbacks refer to.
    OrderSender sender_;
};

} // namespace ragwortwinch
