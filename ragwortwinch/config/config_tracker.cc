#include "ragwortwinch/config/config_tracker.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/config/rules_parser.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

constexpr Millis peerAskInterval{300};
// The longest that a write which was sent may stay under way.
constexpr Millis settleTime{3000};

} // namespace

ConfigTracker::ConfigTracker(OpIds& ids, Millis readInterval)
    : ids_(ids)
    , readInterval_(readInterval)
{
}

void ConfigTracker::onPublishEnded(Instant now, bool isOutcomeKnown, std::uint64_t versionInForce)
{
    --publishing_;
    newestKnown_ = std::max(newestKnown_, versionInForce);
    if (isOutcomeKnown)
        return;
    inDoubtUntil_ = now + settleTime;
    isDoubtSettled_ = false;
}

bool ConfigTracker::mayReportStoreDown(Instant now) const
{
    // A node that has not read the store since it started, or since a change of its own was in doubt, can't
    // say that nothing was accepted through it.
    bool isInDoubt = publishing_ > 0 || !isDoubtSettled_ || newestKnown_ > version();
    return isStoreDown_ && !isInDoubt && now >= *inDoubtUntil_;
}

StoreOps ConfigTracker::tick(Instant now)
{
    if (!inDoubtUntil_)
        inDoubtUntil_ = now + settleTime;
    if (headOp_ != 0 || partOp_ != 0 || now < nextRead_)
        return {};
    bool isProvedByPeers = learnsFromPeers_ && isDoubtSettled_ && version() > 0 && version() >= newestKnown_
        && now - provedAt_ < readInterval_ * 2;
    if (isProvedByPeers)
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
    newestKnown_ = std::max(newestKnown_, head->version);
    if (inDoubtUntil_ && headSentAt_ >= *inDoubtUntil_)
        isDoubtSettled_ = true;
    if (head->version == version())
        provedAt_ = std::max(provedAt_, headSentAt_);
    // An older head is an older read of the store: it proves nothing and changes nothing.
    if (head->version == version() || !mayReplace(head->version))
        return {};
    loading_ = *head;
    loadedParts_.clear();
    return readNextPart();
}

StoreOps ConfigTracker::readNextPart()
{
    partOp_ = ids_.next();
    return {StoreOp::get(partOp_, configPartKey(loading_.hash, loadedParts_.size()))};
}

StoreOps ConfigTracker::onPartAnswer(Instant, const StoreAnswer& answer)
{
    if (!answer.isOk())
        return {};
    loadedParts_.push_back(answer.value);
    if (loadedParts_.size() < loading_.parts)
        return readNextPart();
    std::string text;
    for (const std::string& part : loadedParts_)
        text += part;
    loadedParts_.clear();
    if (adopt(loading_, std::move(text)))
        provedAt_ = std::max(provedAt_, headSentAt_);
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
    hasNew_ = true;
    LogEvent("config.adopted").with("version", head.version).with("change", head.changeId);
    return true;
}

void ConfigTracker::onPeerConfigStatus(Instant, const PeerConfigStatus& statement)
{
    PeerConfigStatus& known = statements_[statement.peer];
    if (statement.heartbeatSentAt < known.heartbeatSentAt)
        return;
    known = statement;
    newestKnown_ = std::max(newestKnown_, statement.version);
    if (statement.version == version() && version() > 0)
        provedAt_ = std::max(provedAt_, statement.confirmedAt);
}

bool ConfigTracker::onPeerConfig(Instant, const ConfigHead& head, const std::string& text)
{
    return adopt(head, text);
}

std::optional<std::string> ConfigTracker::takePeerToQuery(Instant now)
{
    if (now < nextPeerAsk_)
        return std::nullopt;
    const PeerConfigStatus* best = nullptr;
    for (const auto& entry : statements_) {
        if (entry.second.version > version() && (!best || entry.second.version > best->version))
            best = &entry.second;
    }
    if (!best)
        return std::nullopt;
    nextPeerAsk_ = now + peerAskInterval;
    nextRead_ = std::min(nextRead_, now);
    return best->peer;
}

std::optional<AcceptedConfig> ConfigTracker::takeAdopted()
{
    if (!hasNew_)
        return std::nullopt;
    hasNew_ = false;
    return current_;
}

bool ConfigTracker::doAllSayStoreIsDown(Instant now, const std::set<std::string>& vms) const
{
    if (!mayReportStoreDown(now))
        return false;
    Millis bound = current_.rules->limits.freshnessBound;
    return std::all_of(vms.begin(), vms.end(), [&](const std::string& vm) {
        auto found = statements_.find(vm);
        return found != statements_.end() && found->second.isStoreDown
            && now - found->second.heartbeatSentAt <= bound && found->second.version <= version();
    });
}

bool ConfigTracker::mayServeKeyed(Instant now, const std::set<std::string>& vms) const
{
    if (version() == 0)
        return false;
    const Limits& limits = current_.rules->limits;
    if (now - provedAt_ <= limits.freshnessBound || !isEnabled(Mechanism::ConfigFreshness))
        return true;
    switch (limits.stalePolicy) {
    case StalePolicy::Serve:
        return true;
    case StalePolicy::Refuse:
        return false;
    case StalePolicy::AgreeThenServe:
        return doAllSayStoreIsDown(now, vms);
    }
    return false;
}

} // namespace ragwortwinch
