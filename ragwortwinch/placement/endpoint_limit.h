// Keeps to the limit that an endpoint names for the requests of all VMs together.
//
//     limit.onReply(now, reply.requestLimit);            // after each reply of the endpoint
//     limit.onPeerObservation(observation);              // what another VM has seen
//     if (limit.needsPart()) limit.setPart(now, requestLimitPart(...));
//     if (limit.mayTake(now)) { limit.take(now); send(); }
//
// Without messages for each request: a few VMs, chosen by rendezvous hashing for the endpoint, share the
// limit, and the others leave the endpoint alone. So each sender's part is large enough to be used, and what
// all of them may save up stays small. The senders notice when the limit is lifted and tell the others. Not
// thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <optional>
#include <set>
#include <string>

namespace ragwortwinch {

// The limit that a VM has read in an endpoint's replies.
struct RequestLimitObservation {
    // Requests a second; nullopt if the endpoint no longer names a limit.
    std::optional<double> perSecond;
    Instant at;
};

// Returns the requests a second that this VM may send to the endpoint; 0 if others are the senders or `vms`,
// all VMs with this one, is empty.
double requestLimitPart(
    const std::string& endpoint, double perSecond, const std::string& self, const std::set<std::string>& vms);

class EndpointLimit {
public:
    // A limit is lifted by this many successive replies without one, at least this long after the last reply
    // with one: replies overtake each other, and some kinds may lack the field.
    static constexpr int liftingReplies = 3;
    static constexpr Millis liftingTime{1000};
    // A sender may save up this many requests.
    static constexpr double maxSaved = 1;

    // `perSecond` is the limit that the reply names, if any.
    void onReply(Instant now, std::optional<double> perSecond);
    // The newest observation of all VMs counts.
    void onPeerObservation(const RequestLimitObservation& observation);

    bool isLimited() const { return current_.perSecond.has_value(); }
    double perSecond() const { return current_.perSecond.value_or(0); }
    // What this VM has seen itself, for the peers; nullopt before the first limit.
    const std::optional<RequestLimitObservation>& ownObservation() const { return own_; }

    // Whether `setPart` has to be called; until then no request may be sent.
    bool needsPart() const { return needsPart_; }
    void requestPart() { needsPart_ = isLimited(); }
    // Requests a second that this VM may send.
    void setPart(Instant now, double perSecond);

    bool mayTake(Instant now) const;
    // Counts a request that is sent.
    void take(Instant now);

private:
    void adopt(const RequestLimitObservation& observation);
    double savedAt(Instant now) const;

    RequestLimitObservation current_;
    std::optional<RequestLimitObservation> own_;
    int repliesWithoutLimit_ = 0;
    bool needsPart_ = false;
    double part_ = 0;
    // Requests saved up at `savedAt_`.
    double saved_ = 0;
    Instant savedAt_;
};

} // namespace ragwortwinch
