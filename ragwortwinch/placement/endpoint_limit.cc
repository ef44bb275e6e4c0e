#include "ragwortwinch/placement/endpoint_limit.h"

#include "ragwortwinch/base/rendezvous_rank.h"

#include <algorithm>
#include <cmath>

namespace ragwortwinch {

namespace {

// Sent in spite of a lower limit, by one VM, since only replies show that a limit is lifted.
constexpr double minPerSecond = 0.25;
// Each sender gets about this many requests a second.
constexpr double perSecondOfSender = 1;

} // namespace

double requestLimitPart(
    const std::string& endpoint, double perSecond, const std::string& self, const std::set<std::string>& vms)
{
    if (vms.empty())
        return 0;
    double senders
        = std::clamp(std::floor(perSecond / perSecondOfSender), 1.0, static_cast<double>(vms.size()));
    if (static_cast<double>(rendezvousRank(endpoint, self, vms)) >= senders)
        return 0;
    return std::max(perSecond, minPerSecond) / senders;
}

void EndpointLimit::onReply(Instant now, std::optional<double> perSecond)
{
    if (perSecond) {
        repliesWithoutLimit_ = 0;
        own_ = RequestLimitObservation{perSecond, now};
        adopt(*own_);
        return;
    }
    if (!isLimited())
        return;
    ++repliesWithoutLimit_;
    if (repliesWithoutLimit_ < liftingReplies || now - current_.at < liftingTime)
        return;
    own_ = RequestLimitObservation{std::nullopt, now};
    adopt(*own_);
}

void EndpointLimit::onPeerObservation(const RequestLimitObservation& observation)
{
    if (observation.at > current_.at)
        adopt(observation);
}

void EndpointLimit::adopt(const RequestLimitObservation& observation)
{
    if (observation.perSecond != current_.perSecond) {
        needsPart_ = observation.perSecond.has_value();
        repliesWithoutLimit_ = 0;
    }
    current_ = observation;
}

void EndpointLimit::setPart(Instant now, double perSecond)
{
    saved_ = savedAt(now);
    savedAt_ = now;
    part_ = perSecond;
    needsPart_ = false;
}

double EndpointLimit::savedAt(Instant now) const
{
    double seconds = static_cast<double>((now - savedAt_).count()) / 1000;
    return std::min(maxSaved, saved_ + part_ * seconds);
}

bool EndpointLimit::mayTake(Instant now) const { return !isLimited() || (!needsPart_ && savedAt(now) >= 1); }

void EndpointLimit::take(Instant now)
{
    if (!isLimited())
        return;
    saved_ = savedAt(now) - 1;
    savedAt_ = now;
}

} // namespace ragwortwinch
