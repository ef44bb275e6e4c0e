// Follows the configuration in force: reads the store's head, learns from peers, adopts only greater
// versions.
//
//     ConfigTracker keeper(ids, Millis(500));
//     run(keeper.tick(now));
//     run(keeper.onAnswer(now, answer));
//     keeper.onPeerConfigStatus(now, statement);
//     if (std::optional<AcceptedConfig> next = keeper.takeAdopted()) install(*next);
//     keeper.mayServeKeyed(now, limits, vms);
//
// It also knows how old the last proof is that its version is the newest, which decides whether keyed
// requests may run. Not thread-safe; holds no clock and no socket.
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
    // Verbatim, comments and all.
    std::string text;
    std::shared_ptr<const Rules> rules;
};

// What a peer said of the configuration.
struct PeerConfigStatus {
    std::string peer;
    std::uint64_t version = 0;
    // Not later than when the peer made the statement, by our clock: when the heartbeat it echoes was sent.
    Instant heartbeatSentAt;
    // Not later than the peer's last proof, by our clock.
    Instant confirmedAt;
    bool isStoreDown = false;
};

class ConfigTracker {
public:
    // `ids` outlives the keeper. `readInterval` is the time between two reads of the head.
    ConfigTracker(OpIds& ids, Millis readInterval);

    StoreOps tick(Instant now);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);
    void onPeerConfigStatus(Instant now, const PeerConfigStatus& statement);
    // Takes the head and text that a peer sent. A wrong hash or an older version is refused.
    bool onPeerConfig(Instant now, const ConfigHead& head, const std::string& text);
    // While true, a peer's proof stands in for reading the head, as long as it is fresh.
    void setAcceptsPeerConfirmation(bool value) { learnsFromPeers_ = value; }

    // Returns the peer to ask for its configuration, when one has a greater version that the store does not
    // give.
    std::optional<std::string> takePeerToQuery(Instant now);
    // Returns a newly adopted configuration once.
    std::optional<AcceptedConfig> takeAdopted();

    std::uint64_t version() const { return current_.head.version; }
    const AcceptedConfig& current() const { return current_; }
    // The last moment at which this version was known to be the newest.
    Instant confirmedAt() const { return provedAt_; }
    bool isStoreDown() const { return isStoreDown_; }
    // Whether this node's word on an outage counts: it has read the store since it started, and nothing is in
    // doubt.
    bool areChangesSettled() const { return isDoubtSettled_; }
    // What to tell peers: the store is down, and no change sent from here can still take effect.
    bool mayReportStoreDown(Instant now) const;
    // Between the two a change of this node is under way. Without a known outcome it stays in doubt until the
    // settle time has passed and the store has been read after it. `versionInForce` is what the end of it
    // told, or 0.
    void onPublishStarted() { ++publishing_; }
    void onPublishEnded(Instant now, bool isOutcomeKnown, std::uint64_t versionInForce);
    // Whether keyed requests may run: the version is proved fresh, or the policy allows more. `vms` names all
    // other VMs of the last list.
    bool mayServeKeyed(Instant now, const std::set<std::string>& vms) const;

private:
    StoreOps onHeadAnswer(Instant now, const StoreAnswer& answer);
    StoreOps onPartAnswer(Instant now, const StoreAnswer& answer);
    StoreOps readNextPart();
    bool mayReplace(std::uint64_t next) const;
    bool adopt(const ConfigHead& head, std::string text);
    bool doAllSayStoreIsDown(Instant now, const std::set<std::string>& vms) const;

    OpIds& ids_;
    Millis readInterval_;
    bool learnsFromPeers_ = false;
    AcceptedConfig current_;
    bool hasNew_ = false;
    Instant provedAt_;
    bool isStoreDown_ = false;
    int publishing_ = 0;
    // Until when a change sent from here, or from a former process of this node, may still take effect.
    std::optional<Instant> inDoubtUntil_;
    // The store has been read since then.
    bool isDoubtSettled_ = false;
    // The greatest version that this node knows of, adopted or not.
    std::uint64_t newestKnown_ = 0;
    Instant nextRead_;
    std::uint64_t headOp_ = 0;
    Instant headSentAt_;
    std::uint64_t partOp_ = 0;
    ConfigHead loading_;
    std::vector<std::string> loadedParts_;
    std::map<std::string, PeerConfigStatus> statements_;
    Instant nextPeerAsk_;
};

} // namespace ragwortwinch
