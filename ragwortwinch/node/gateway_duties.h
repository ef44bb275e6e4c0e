// The duty that one VM at a time holds in gateway mode: reporting usage and ordering endpoints.
//
//     duties.tick(now, unixMillis, candidates);
//     duties.releaseAll();       // before a planned stop
//
// A VM tries for the duty only when it is the first of those it hears, by rendezvous hashing. Belongs to the
// control thread.
#pragma once

#include "ragwortwinch/config/gateway_settings.h"
#include "ragwortwinch/fleet/order_sender.h"
#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/node/store_runner.h"
#include "ragwortwinch/usage/window_closer.h"

#include <set>
#include <string>

namespace ragwortwinch {

class GatewayDuties {
public:
    // All references outlive the object.
    GatewayDuties(const GatewaySettings& settings, const std::string& incarnation, asio::io_context& context,
        StoreRunner& runner, OpIds& ids);

    // `candidates` are the other VMs that could take the duty now.
    void tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates);
    void releaseAll() { isReleasing_ = true; }
    bool isReleased() const { return lease_.state() == LeaseState::Idle; }
    Json dump(Instant now) const;

private:
    Authority authority(Instant now) const;
    void tickLease(Instant now, const std::set<std::string>& candidates);
    void reportUsage(Instant now, std::int64_t unixMillis);

    const GatewaySettings& settings_;
    asio::io_context& context_;
    StoreRunner& runner_;
    LeaseKeeper lease_;
    WindowCloser closer_;
    bool isReleasing_ = false;
    // Last, so that its thread ends before what its callbacks refer to.
    OrderSender sender_;
};

// Whether `self` goes before all `candidates` for a duty.
bool isFirstForDuty(
    const std::string& duty, const std::string& self, const std::set<std::string>& candidates);

} // namespace ragwortwinch
