// The orders of one availability zone: written to the store before they are sent, adopted by the next holder.
//
//     OrderJournal journal("north-cnx", ids);
//     journal.submit({"brew-1", OrderKind::SetRole, "prefill"});
//     run(journal.tick(now, authority));                // store operations
//     for (EndpointOrder& order : journal.takeSends(now, authority, checksFencing)) send(order);
//     journal.onSendResult(now, order.number, SendOutcome::Applied);
//
// An endpoint has at most one order that is not done; a different one is refused until then, and is not sent
// while a copy of the former one whose answer was lost may still be under way. Each write compares the
// journal's revision, so a former holder's write fails once the next has written. Not thread-safe.
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

// What the lease says at this moment.
struct Authority {
    // 0 without authority.
    std::uint64_t epoch = 0;
    bool isQuietPeriodOver = false;
};

enum class SubmitResult {
    Accepted,
    // The endpoint has an order that is not done.
    Busy,
    // This node does not hold the zone's duty, or has not read the journal yet.
    NoAuthority,
};

class OrderJournal {
public:
    // `ids` outlives the journal. `sendBound` is the longest that one send may be under way.
    OrderJournal(std::string zone, std::string writer, OpIds& ids, Millis sendBound,
        Millis resendInterval = Millis(500));

    // Queues an order. It is sent once it is in the store.
    SubmitResult submit(EndpointOrder order);
    StoreOps tick(Instant now, const Authority& authority);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Returns the journaled orders that are due to be sent now. Each has to be followed by `onSendResult`;
    // after an unknown outcome it is due again.
    std::vector<EndpointOrder> takeSends(Instant now, const Authority& authority,
        const std::function<bool(const std::string& endpoint)>& checksFencing);
    void onSendResult(Instant now, std::uint64_t number, SendOutcome outcome);

    const std::map<std::string, EndpointOrder>& orders() const { return orders_; }
    // True when nothing is queued, unwritten, unfinished or possibly still under way.
    bool isSettled(Instant now) const;

private:
    enum class Phase {
        WithoutAuthority,
        Reading,
        Ready,
        Writing,
        // A write's answer was lost: the journal is read back.
        Doubtful,
    };

    std::string key() const { return "orders/" + zone_; }
    bool isUnfinished(const std::string& endpoint) const;
    StoreOps read();
    StoreOps write();
    void load(const std::string& text);
    std::string serialize();
    void onReadAnswer(Instant now, const StoreAnswer& answer);
    void onWriteAnswer(Instant now, const StoreAnswer& answer);
    void adoptAll();

    std::string zone_;
    std::string writer_;
    OpIds& ids_;
    Millis sendBound_;
    Millis resendInterval_;

    Phase phase_ = Phase::WithoutAuthority;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t writeCount_ = 0;
    std::string writeTag_;
    std::uint64_t pendingOp_ = 0;
    Instant nextTry_;
    bool needsWrite_ = false;
    std::map<std::string, EndpointOrder> orders_;
    std::vector<EndpointOrder> staged_;
    // Numbers that the store holds under the present epoch: only these may be sent. Instant::max() marks one
    // that is being sent.
    std::map<std::uint64_t, Instant> nextSend_;
    // Of each endpoint, the latest send with an unknown outcome.
    struct Straggler {
        std::uint64_t number = 0;
        Instant overAt;
    };
    std::map<std::string, Straggler> stragglers_;
};

} // namespace ragwortwinch
