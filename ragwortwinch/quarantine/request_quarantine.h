// Keeps requests that crash endpoints from reaching any, on all VMs: combines what this VM and its peers see,
// decides which traits of requests (called parts here: prompt parts, or whole requests) are harmful, and
// keeps the decisions in the store, where a VM that starts or was cut off finds them.
//
//     RequestQuarantine quarantine("cnx-1", ids);
//     quarantine.onCrash(now, crash, isConfirmed);
//     quarantine.onAnswered(now, part, answeredAt);
//     run(quarantine.tick(now, livePeers));  quarantine.onAnswer(now, answer);
//     if (std::optional<QuarantineNews> news = quarantine.takeNews()) sendToAllPeers(*news);
//     if (quarantine.takeChanged()) use(quarantine.quarantinedUntil(), quarantine.suspectedParts());
//
// A part is released when its time is over, when a prompt with it is answered after all, when other parts
// turn out to explain its crashes, or when its key is removed from the store. Opens no socket and reads no
// clock. Not thread-safe.
#pragma once

#include "ragwortwinch/quarantine/crash_evidence.h"
#include "ragwortwinch/quarantine/quarantine_news.h"
#include "ragwortwinch/store/op_ids.h"
#include "ragwortwinch/store/store_op.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortwinch {

// The key of a part is this prefix and the part's id.
inline constexpr const char* quarantineKeyPrefix = "quarantine/";

class RequestQuarantine {
public:
    // A part may be harmful to one version of an engine only, so it is tried again after this time. The
    // longest time that the store keeps a key without renewal.
    static constexpr Millis duration{10 * 60 * 1000};
    // A crash that its VM can't confirm is confirmed if the endpoint's registration ends within this time.
    static constexpr Millis confirmationTime{10000};
    // Limit on unconfirmed crashes.
    static constexpr std::size_t maxUnconfirmedCrashes = 64;
    // Limit on parts in quarantine.
    static constexpr std::size_t maxParts = 1024;
    // The VM that ranks first for a part writes it to the store, each further one this much later if the part
    // is still missing there.
    static constexpr Millis writeDelay{700};

    // `ids` must outlive the object.
    RequestQuarantine(std::string self, OpIds& ids);

    // This VM lost its connections to an endpoint. `isConfirmed` if the endpoint refuses new ones, so that
    // the network can't be the cause.
    void onCrash(Instant now, const EndpointCrash& crash, bool isConfirmed);
    // The ids and incarnations of all registered endpoints.
    void onEndpoints(Instant now, std::set<std::pair<std::string, std::int64_t>> registered);
    // This VM received the whole answer to a prompt with this part.
    void onAnswered(Instant now, TraitId part, Instant at);
    void onNews(Instant now, const std::string& peer, const QuarantineNews& news);
    // All keys under `quarantineKeyPrefix`.
    void onStoreList(Instant now, const std::vector<StoreEntry>& entries);
    void onStoreEntry(Instant now, const std::string& key);
    void onStoreRemoval(Instant now, const std::string& key);
    // The store came back from an older copy: parts that are missing there stay in quarantine and are written
    // again.
    void onStoreRestored(Instant now);

    // `livePeers` are the other VMs that may write to the store.
    StoreOps tick(Instant now, const std::set<std::string>& livePeers);
    StoreOps onAnswer(Instant now, const StoreAnswer& answer);

    // Returns what has to be told to all peers since the last call.
    std::optional<QuarantineNews> takeNews();
    // Returns what a peer has to know that may have missed earlier news.
    QuarantineNews allNews() const;
    // Returns whether `quarantinedUntil` or `suspectedParts` may have changed since the last call.
    bool takeChanged();
    std::map<TraitId, Instant> quarantinedUntil() const;
    // Parts of which the answers to prompts are to be reported.
    const std::set<TraitId>& suspectedParts() const { return suspectedParts_; }

private:
    struct Entry {
        Instant since;
        Instant until;
        // Decided by this VM's evidence.
        bool isOwnDecision = false;
        bool isStored = false;
    };
    struct UnconfirmedCrash {
        Instant until;
        EndpointCrash crash;
    };
    // Whether the peers have to be told, or learn it from where this VM did.
    enum class Announcement { None, ToPeers };

    // A write that is due unless another VM does it first.
    struct PendingWrite {
        Instant since;
        bool isRemoval = false;
    };

    // Confirms crashes of endpoints that are no longer registered, and drops those that took too long.
    void confirmCrashes(Instant now);
    void addOwnCrash(const EndpointCrash& crash);
    // Puts parts into quarantine, and releases them, according to the evidence.
    void decide(Instant now, const std::set<std::string>& livePeers);
    void add(Instant now, TraitId part, Instant until, bool isOwnDecision);
    void release(Instant now, TraitId part, Announcement announcement, const char* reason);
    StoreOps writeNext(Instant now, const std::set<std::string>& livePeers);

    std::string self_;
    OpIds& ids_;
    CrashEvidence evidence_;
    std::map<TraitId, Entry> entries_;
    std::vector<UnconfirmedCrash> unconfirmed_;
    // Ids and incarnations.
    std::set<std::pair<std::string, std::int64_t>> registered_;
    // By endpoint and incarnation.
    std::map<std::pair<std::string, std::int64_t>, EndpointCrash> ownCrashes_;
    std::map<TraitId, PendingWrite> pendingWrites_;
    std::uint64_t pendingOp_ = 0;
    TraitId pendingPart_ = 0;
    bool isPendingRemoval_ = false;
    Instant nextWrite_;
    QuarantineNews news_;
    std::set<TraitId> suspectedParts_;
    bool isEvidenceChanged_ = false;
    bool isChanged_ = false;
};

} // namespace ragwortwinch
