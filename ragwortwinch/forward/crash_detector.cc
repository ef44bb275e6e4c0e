#include "ragwortwinch/forward/crash_detector.h"

#include "ragwortwinch/forward/connection_probe.h"

namespace ragwortwinch {

CrashDetector::CrashDetector(boost::asio::io_context& io, const Clock& clock, Millis connectTimeout)
    : io_(io)
    , clock_(clock)
    , connectTimeout_(connectTimeout)
    , self_(std::make_shared<CrashDetector*>(this))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::setQuarantine(std::map<TraitId, Instant> quarantinedUntil, std::set<TraitId> suspected)
{
    quarantinedUntil_ = std::move(quarantinedUntil);
    std::set<TraitId> former = std::move(suspected_);
    suspected_ = std::move(suspected);
    if (!listener_)
        return;
    // An answer from before the report of a crash arrived may clear a part too.
    for (TraitId part : suspected_) {
        std::optional<Instant> answer = former.contains(part) ? std::nullopt : lastAnswer(part);
        if (answer)
            listener_->onAnswered(part, *answer);
    }
}

std::optional<QuarantinedTrait> CrashDetector::findQuarantined(const RequestTraits& traits) const
{
    if (quarantinedUntil_.empty())
        return std::nullopt;
    for (TraitId trait : traits.all()) {
        auto found = quarantinedUntil_.find(trait);
        if (found != quarantinedUntil_.end())
            return QuarantinedTrait{trait, trait == traits.whole(), found->second};
    }
    return std::nullopt;
}

void CrashDetector::onAnswered(const RequestTraits& traits)
{
    Instant now = clock_.now();
    for (TraitId trait : traits.all()) {
        AnswerTimes& answers = trait == traits.whole() ? answeredRequests_ : answeredParts_;
        answers.remember(trait, now);
        if (listener_ && suspected_.contains(trait))
            listener_->onAnswered(trait, now);
    }
}

void AnswerTimes::remember(TraitId trait, Instant at)
{
    if (newer_.size() >= maxTraits / 2) {
        older_ = std::move(newer_);
        newer_.clear();
    }
    newer_[trait] = at;
}

std::optional<Instant> AnswerTimes::last(TraitId trait) const
{
    for (const std::unordered_map<TraitId, Instant>* answers : {&newer_, &older_}) {
        auto found = answers->find(trait);
        if (found != answers->end())
            return found->second;
    }
    return std::nullopt;
}

std::optional<Instant> CrashDetector::lastAnswer(TraitId trait) const
{
    std::optional<Instant> answer = answeredParts_.last(trait);
    return answer ? answer : answeredRequests_.last(trait);
}

void CrashDetector::onConnectionLost(
    const UpstreamPointer& endpoint, const RequestTraits& traits, Instant sentAt)
{
    std::vector<TraitId> parts = traits.all();
    if (!listener_ || parts.empty())
        return;
    parts.resize(std::min(parts.size(), maxTraitsOfRequest));
    auto [entry, isNew] = probed_.try_emplace(
        endpoint, EndpointCrash{endpoint->record.id, endpoint->record.incarnation, clock_.now(), {}});
    if (entry->second.requests.size() < maxRequests)
        entry->second.requests.push_back({std::move(parts), sentAt});
    if (!isNew)
        return;
    ConnectionProbe::start(io_, endpoint, connectTimeout_,
        [owner = std::weak_ptr<CrashDetector*>(self_), endpoint](ProbeResult result) {
            if (std::shared_ptr<CrashDetector*> detector = owner.lock())
                (*detector)->onProbeEnd(endpoint, result == ProbeResult::Refused);
        });
}

void CrashDetector::onProbeEnd(const UpstreamPointer& endpoint, bool isRefused)
{
    EndpointCrash crash = std::move(probed_[endpoint]);
    probed_.erase(endpoint);
    if (isRefused)
        endpoint->outcomes.onUnreachable(clock_.now());
    if (listener_)
        listener_->onCrash(crash, isRefused);
}

} // namespace ragwortwinch
