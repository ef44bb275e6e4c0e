// Tracks the configuration in force: reads the head and the text from the store, takes versions and texts
// from peers, and adopts only greater versions.
//
//     ConfigTracker tracker(ids, Millis(500));
//     run(tracker.tick(now));
//     run(tracker.onAnswer(now, answer));
//     tracker.onPeerConfigStatus(now, status);
//     if (std::optional<AcceptedConfig> next = tracker.takeAdopted()) install(*next);
//     tracker.mayServeKeyed(now, vms);
//
// It also records when its version was last confirmed to be the newest. Requests that need a key run only
// while that time is recent enough. Not thread-safe; reads no clock and opens no socket: callers pass `now`
// and carry out the returned store operations.
#pragma once

#include "ragwortwinch/base/mechanism.h"

#include "ragwortwinch/config/config_head.h"
#include "ragwortwinch/config/rules.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortwinch {

struct AcceptedConfig {
    ConfigHead head;
    // As the operator sent it, with comments.
    std::string text;
    std::shared_ptr<const Rules> rules;
};

// What a peer's heartbeat reports about the configuration.
struct PeerConfigStatus {
    std::string peer;
    std::uint64_t version = 0;
    // When this node sent the heartbeat that the peer echoes, by the local clock: a lower bound of when the
    // peer reported.
    Instant heartbeatSentAt;
    // Lower bound, by the local clock, of when the peer last confirmed that its version is the newest.
    Instant confirmedAt;
    bool isStoreDown = false;
};

class ConfigTracker {
public:
    // `ids` must outlive this object. `readInterval` is the time between two reads of the head.
    ConfigTracker(OpIds& ids, Millis readInterval);

    // Returns the store operations to carry out now; call it periodically.
    StoreOps tick(Instant now);
    // Takes the answer to one of them; answers to other operations are ignored.
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    // Takes the report of a peer; a report older than the peer's last one is ignored.
    void onPeerConfigStatus(Instant now, const PeerConfigStatus& status);
    // Adopts the head and text that a peer sent. Returns false when the version is not greater, the hash
    // doesn't match or the rules are invalid.
    bool onPeerConfig(Instant now, const ConfigHead& head, const std::string& text);
    // If set, the head is not read while this version was confirmed recently, by peers or a read, no newer
    // one is known and all changes are settled.
    void setAcceptsPeerConfirmation(bool value) { acceptsPeerConfirmation_ = value; }

    // Returns the peer with the greatest version, to fetch its configuration. Returns nothing when no peer
    // has a newer version than this node or the last request was too recent.
    std::optional<std::string> takePeerToQuery(Instant now);
    // Returns each newly adopted configuration once.
    std::optional<AcceptedConfig> takeAdopted();

    std::uint64_t version() const { return current_.head.version; }
    const AcceptedConfig& current() const { return current_; }
    // When this version was last confirmed to be the newest.
    Instant confirmedAt() const { return confirmedAt_; }
    bool isStoreDown() const { return isStoreDown_; }
    // False after the start and after a change of unknown outcome, until no change sent earlier, also before
    // the start, can still take effect and the store has been read after that.
    bool areChangesSettled() const { return areChangesSettled_; }
    // Whether to report to peers that the store is down. False while this node publishes a change, its
    // changes are not settled or a newer version is known.
    bool mayReportStoreDown(Instant now) const;
    // Mark the start and the end of a change that this node publishes. A change of unknown outcome makes
    // `areChangesSettled` false until it can no longer take effect and the store has been read after that.
    // `versionInForce` is the version that the publisher read at the end, or 0.
    void onPublishStarted() { ++pendingPublishes_; }
    void onPublishEnded(Instant now, bool isOutcomeKnown, std::uint64_t versionInForce);
    // Whether requests that need a key may run: the version was confirmed recently enough, or the stale
    // policy allows them. `vms` names the other VMs that must report that the store is down.
    bool mayServeKeyed(Instant now, const std::set<std::string>& vms) const;

private:
    StoreOps onHeadAnswer(Instant now, const StoreAnswer& answer);
    StoreOps onPartAnswer(Instant now, const StoreAnswer& answer);
    StoreOps readNextPart();
    bool mayReplace(std::uint64_t next) const;
    bool adopt(const ConfigHead& head, std::string text);
    bool doAllReportStoreDown(Instant now, const std::set<std::string>& vms) const;

    OpIds& ids_;
    Millis readInterval_;
    bool acceptsPeerConfirmation_ = false;
    AcceptedConfig current_;
    bool hasUntakenConfig_ = false;
    Instant confirmedAt_;
    bool isStoreDown_ = false;
    // The number of changes that this node is publishing.
    int pendingPublishes_ = 0;
    // Until then, a change that this node sent, also before its last restart, may take effect. Unset before
    // the first tick.
    std::optional<Instant> inDoubtUntil_;
    // The head was read after `inDoubtUntil_`.
    bool areChangesSettled_ = false;
    // The greatest version seen in the store or reported by a peer, adopted or not.
    std::uint64_t newestKnownVersion_ = 0;
    Instant nextRead_;
    // Ids of the pending reads of the head and of a body's part; 0 when there is none.
    std::uint64_t headOp_ = 0;
    Instant headSentAt_;
    std::uint64_t partOp_ = 0;
    ConfigHead loadingHead_;
    std::vector<std::string> loadedParts_;
    std::map<std::string, PeerConfigStatus> peerStatuses_;
    Instant nextPeerQuery_;
};

} // namespace ragwortwinch
