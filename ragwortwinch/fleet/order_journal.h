// A write-ahead journal of one availability zone's orders: orders are stored before they are sent, and the
// next lease holder takes over the unfinished ones.
//
//     OrderJournal journal("north-cnx", "cnx-1", ids, Millis(1500));
//     journal.submit({"brew-1", OrderKind::SetRole, "prefill"});
//     run(journal.tick(now, authority));                // store operations
//     for (EndpointOrder& order : journal.takeSends(now, authority, checksFencing)) send(order);
//     journal.onSendResult(now, order.number, SendOutcome::Applied);
//
// An endpoint has at most one unfinished order; `submit` refuses others until it is done. An order is not
// sent while the send of an earlier one to its endpoint, with an unknown outcome, may still be in flight.
// Writes are conditional on the journal's revision, so a former holder's write fails once its successor has
// written. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

// A snapshot of the lease that orders and reports are sent under.
struct Authority {
    // The fencing token; 0 if the lease is not held.
    std::uint64_t epoch = 0;
    // True once sends of the former holder can no longer arrive; false if the lease is not held.
    bool isQuietPeriodOver = false;
};

enum class SubmitResult {
    Accepted,
    // The endpoint has a queued or unfinished order.
    Busy,
    // This node does not hold the zone's lease, or has not read the journal yet.
    NoAuthority,
};

class OrderJournal {
public:
    // `ids` outlives the journal. `sendBound` is the longest time that one send may be in flight;
    // `retryInterval` applies to store operations and to sends.
    OrderJournal(std::string zone, std::string writer, OpIds& ids, Millis sendBound,
        Millis retryInterval = Millis(500));

    // Queues an order. It is sent once it is in the store.
    SubmitResult submit(EndpointOrder order);
    StoreOps tick(Instant now, const Authority& authority);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Returns the journaled orders that are due to be sent now. Call `onSendResult` for each; after an
    // unknown outcome it becomes due again. Orders to the platform, and to endpoints for which
    // `checksFencing` is false, are due only after the quiet period.
    std::vector<EndpointOrder> takeSends(Instant now, const Authority& authority,
        const std::function<bool(const std::string& endpoint)>& checksFencing);
    void onSendResult(Instant now, std::uint64_t number, SendOutcome outcome);

    const std::map<std::string, EndpointOrder>& orders() const { return orders_; }
    // True if nothing is queued, unwritten, unfinished or possibly still in flight.
    bool isSettled(Instant now) const;

private:
    enum class Phase {
        WithoutAuthority,
        Reading,
        Ready,
        Writing,
        // A write's answer was lost; the journal is read back to learn whether it was applied.
        Verifying,
    };

    std::string key() const { return "orders/" + zone_; }
    bool isUnfinished(const std::string& endpoint) const;
    StoreOps read();
    StoreOps write();
    void load(const std::string& text);
    std::string serialize();
    void onReadAnswer(Instant now, const StoreAnswer& answer);
    void onWriteAnswer(Instant now, const StoreAnswer& answer);
    void scheduleSends();

    std::string zone_;
    std::string writer_;
    OpIds& ids_;
    Millis sendBound_;
    Millis retryInterval_;

    Phase phase_ = Phase::WithoutAuthority;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t writeCount_ = 0;
    // Identifies this node's latest write when it is read back.
    std::string writeTag_;
    std::uint64_t pendingOp_ = 0;
    Instant nextAttempt_;
    bool needsWrite_ = false;
    std::map<std::string, EndpointOrder> orders_;
    // Submitted, but not yet written.
    std::vector<EndpointOrder> staged_;
    // Send times by order number. Only orders stored under the current epoch have one, and only these may be
    // sent. Instant::max() marks one that is being sent.
    std::map<std::uint64_t, Instant> nextSend_;
    // The latest send with an unknown outcome to each endpoint.
    struct Straggler {
        std::uint64_t number = 0;
        Instant inFlightUntil;
    };
    std::map<std::string, Straggler> stragglers_;
};

} // namespace ragwortwinch
