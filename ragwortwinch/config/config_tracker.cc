#include "ragwortwinch/config/config_tracker.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/config/rules_parser.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

constexpr Millis peerQueryInterval{300};
// Longest time for which a write that was sent can still take effect.
constexpr Millis settleTime{3000};

} // namespace

ConfigTracker::ConfigTracker(OpIds& ids, Millis readInterval)
    : ids_(ids)
    , readInterval_(readInterval)
{
}

void ConfigTracker::onPublishEnded(Instant now, bool isOutcomeKnown, std::uint64_t versionInForce)
{
    --pendingPublishes_;
    newestKnownVersion_ = std::max(newestKnownVersion_, versionInForce);
    if (isOutcomeKnown)
        return;
    inDoubtUntil_ = now + settleTime;
    areChangesSettled_ = false;
}

bool ConfigTracker::mayReportStoreDown(Instant now) const
{
    // After its start and after each change of unknown outcome, this node must first read the store: a change
    // that it sent may have been accepted unnoticed.
    bool isInDoubt = pendingPublishes_ > 0 || !areChangesSettled_ || newestKnownVersion_ > version();
    return isStoreDown_ && !isInDoubt && now >= *inDoubtUntil_;
}

StoreOps ConfigTracker::tick(Instant now)
{
    if (!inDoubtUntil_)
        inDoubtUntil_ = now + settleTime;
    if (headOp_ != 0 || partOp_ != 0 || now < nextRead_)
        return {};
    bool isRecentlyConfirmed = acceptsPeerConfirmation_ && areChangesSettled_ && version() > 0
        && version() >= newestKnownVersion_ && now - confirmedAt_ < readInterval_ * 2;
    if (isRecentlyConfirmed)
        return {};
    headOp_ = ids_.next();
    headSentAt_ = now;
    nextRead_ = now + readInterval_;
    return {StoreOp::get(headOp_, configHeadKey)};
}

StoreOps ConfigTracker::onAnswer(Instant now, const StoreAnswer& answer)
{
    if (headOp_ != 0 && answer.opId == headOp_) {
        headOp_ = 0;
        return onHeadAnswer(now, answer);
    }
    if (partOp_ != 0 && answer.opId == partOp_) {
        partOp_ = 0;
        return onPartAnswer(now, answer);
    }
    return {};
}

StoreOps ConfigTracker::onHeadAnswer(Instant, const StoreAnswer& answer)
{
    isStoreDown_ = answer.isOutage();
    if (isStoreDown_ || !answer.isOk())
        return {};
    std::optional<ConfigHead> head = parseConfigHead(answer.value);
    if (!head)
        return {};
    newestKnownVersion_ = std::max(newestKnownVersion_, head->version);
    if (inDoubtUntil_ && headSentAt_ >= *inDoubtUntil_)
        areChangesSettled_ = true;
    if (head->version == version())
        confirmedAt_ = std::max(confirmedAt_, headSentAt_);
    // An older head comes from a stale read: it confirms nothing and changes nothing.
    if (head->version == version() || !mayReplace(head->version))
        return {};
    loadingHead_ = *head;
    loadedParts_.clear();
    return readNextPart();
}

StoreOps ConfigTracker::readNextPart()
{
    partOp_ = ids_.next();
    return {StoreOp::get(partOp_, configPartKey(loadingHead_.hash, loadedParts_.size()))};
}

StoreOps ConfigTracker::onPartAnswer(Instant, const StoreAnswer& answer)
{
    if (!answer.isOk())
        return {};
    loadedParts_.push_back(answer.value);
    if (loadedParts_.size() < loadingHead_.parts)
        return readNextPart();
    std::string text;
    for (const std::string& part : loadedParts_)
        text += part;
    loadedParts_.clear();
    if (adopt(loadingHead_, std::move(text)))
        confirmedAt_ = std::max(confirmedAt_, headSentAt_);
    return {};
}

bool ConfigTracker::mayReplace(std::uint64_t next) const
{
    return next > version() || !isEnabled(Mechanism::MonotonicConfig);
}

bool ConfigTracker::adopt(const ConfigHead& head, std::string text)
{
    if (!mayReplace(head.version))
        return false;
    if (sha256Hex(text) != head.hash) {
        LogEvent("config.bad_body", Severity::Error).with("version", head.version).with("hash", head.hash);
        return false;
    }
    std::shared_ptr<const Rules> rules = handleErrors(
        [&]() -> Result<std::shared_ptr<const Rules>> {
            BOOST_LEAF_AUTO(parsed, parseRules(text));
            return std::shared_ptr<const Rules>(std::make_shared<Rules>(std::move(parsed)));
        },
        [&](const Error& error) {
            LogEvent("config.rejected", Severity::Error)
                .with("version", head.version)
                .with("problem", error.message);
            return std::shared_ptr<const Rules>();
        });
    if (!rules)
        return false;
    checkInvariant(head.version > current_.head.version, "config.version_grows");
    current_ = {head, std::move(text), std::move(rules)};
    hasUntakenConfig_ = true;
    LogEvent("config.adopted").with("version", head.version).with("change", head.changeId);
    return true;
}

void ConfigTracker::onPeerConfigStatus(Instant, const PeerConfigStatus& status)
{
    PeerConfigStatus& known = peerStatuses_[status.peer];
    if (status.heartbeatSentAt < known.heartbeatSentAt)
        return;
    known = status;
    newestKnownVersion_ = std::max(newestKnownVersion_, status.version);
    if (status.version == version() && version() > 0)
        confirmedAt_ = std::max(confirmedAt_, status.confirmedAt);
}

bool ConfigTracker::onPeerConfig(Instant, const ConfigHead& head, const std::string& text)
{
    return adopt(head, text);
}

std::optional<std::string> ConfigTracker::takePeerToQuery(Instant now)
{
    if (now < nextPeerQuery_)
        return std::nullopt;
    const PeerConfigStatus* best = nullptr;
    for (const auto& entry : peerStatuses_) {
        if (entry.second.version > version() && (!best || entry.second.version > best->version))
            best = &entry.second;
    }
    if (!best)
        return std::nullopt;
    nextPeerQuery_ = now + peerQueryInterval;
    // A newer version exists, so the store is read at once as well.
    nextRead_ = std::min(nextRead_, now);
    return best->peer;
}

std::optional<AcceptedConfig> ConfigTracker::takeAdopted()
{
    if (!hasUntakenConfig_)
        return std::nullopt;
    hasUntakenConfig_ = false;
    return current_;
}

bool ConfigTracker::doAllReportStoreDown(Instant now, const std::set<std::string>& vms) const
{
    if (!mayReportStoreDown(now))
        return false;
    Millis bound = current_.rules->limits.freshnessBound;
    return std::all_of(vms.begin(), vms.end(), [&](const std::string& vm) {
        auto found = peerStatuses_.find(vm);
        return found != peerStatuses_.end() && found->second.isStoreDown
            && now - found->second.heartbeatSentAt <= bound && found->second.version <= version();
    });
}

bool ConfigTracker::mayServeKeyed(Instant now, const std::set<std::string>& vms) const
{
    if (version() == 0)
        return false;
    const Limits& limits = current_.rules->limits;
    if (now - confirmedAt_ <= limits.freshnessBound || !isEnabled(Mechanism::ConfigFreshness))
        return true;
    switch (limits.stalePolicy) {
    case StalePolicy::Serve:
        return true;
    case StalePolicy::Refuse:
        return false;
    case StalePolicy::AgreeThenServe:
        return doAllReportStoreDown(now, vms);
    }
    return false;
}

} // namespace ragwortwinch
