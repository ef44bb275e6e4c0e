#include "ragwortwinch/forward/crash_detector.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ragwortwinch {

// Connects to an endpoint and closes the connection again.
class CrashDetector::Probe : public std::enable_shared_from_this<Probe> {
public:
    Probe(CrashDetector& owner, UpstreamPointer endpoint)
        : owner_(owner.self_)
        , endpoint_(std::move(endpoint))
        , socket_(owner.io_)
        , timer_(owner.io_)
    {
    }

    void start(Millis timeout)
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                self->end(false);
        });
        socket_.async_connect(
            endpoint_->socketAddress, [self = shared_from_this()](const boost::system::error_code& error) {
                self->end(error == boost::asio::error::connection_refused);
            });
    }

private:
    void end(bool isRefused)
    {
        if (isEnded_)
            return;
        isEnded_ = true;
        timer_.cancel();
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (std::shared_ptr<CrashDetector*> owner = owner_.lock())
            (*owner)->onProbeEnd(endpoint_, isRefused);
    }

    std::weak_ptr<CrashDetector*> owner_;
    UpstreamPointer endpoint_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    bool isEnded_ = false;
};

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
    if (isNew)
        std::make_shared<Probe>(*this, endpoint)->start(connectTimeout_);
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
