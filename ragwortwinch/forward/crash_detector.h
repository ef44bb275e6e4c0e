// Detects crashes of endpoints on the forwarding path, remembers which requests were answered, and knows the
// prompt parts and whole requests in quarantine.
//
//     RequestTraits traits(request);
//     detector.onConnectionLost(endpoint, traits, sentAt);
//     detector.onAnswered(traits);
//     if (std::optional<QuarantinedTrait> trait = detector.findQuarantined(traits)) refuse();
//
// After a lost connection it connects once to the endpoint: only a refusal shows that the process has ended,
// since a broken reply or a timeout may also be due to the network or a faulty endpoint. Confined to the
// forwarding thread.
#pragma once

#include "ragwortwinch/forward/request_traits.h"
#include "ragwortwinch/placement/upstream_endpoint.h"
#include "ragwortwinch/quarantine/endpoint_crash.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ragwortwinch {

// Receives what one VM sees of crashes. Called on the forwarding thread.
class CrashListener {
public:
    virtual ~CrashListener() = default;
    // `isConfirmed` if the endpoint refuses connections.
    virtual void onCrash(const EndpointCrash& crash, bool isConfirmed) = 0;
    // Requests with a suspected trait were answered completely.
    virtual void onAnswered(TraitId trait, Instant at) = 0;
};

struct QuarantinedTrait {
    TraitId trait = 0;
    bool isWholeRequest = false;
    Instant until;
};

// When requests with each trait were last answered. Forgets the oldest ones beyond a limit.
class AnswerTimes {
public:
    static constexpr std::size_t maxTraits = 8192;

    void remember(TraitId trait, Instant at);
    std::optional<Instant> last(TraitId trait) const;

private:
    // The older map is dropped when the newer one is full.
    std::unordered_map<TraitId, Instant> newer_;
    std::unordered_map<TraitId, Instant> older_;
};

class CrashDetector {
public:
    // Limits on what is kept of one crash.
    static constexpr std::size_t maxRequests = 64;
    static constexpr std::size_t maxTraitsOfRequest = 64;

    // The references must outlive the object. `connectTimeout` is for the connection that tests an endpoint.
    CrashDetector(boost::asio::io_context& io, const Clock& clock, Millis connectTimeout);
    ~CrashDetector();

    // `listener` must outlive the object or be set to null before it ends.
    void setListener(CrashListener* listener) { listener_ = listener; }
    void setQuarantine(std::map<TraitId, Instant> quarantinedUntil, std::set<TraitId> suspected);

    // Returns a trait of the request that is in quarantine, if any.
    std::optional<QuarantinedTrait> findQuarantined(const RequestTraits& traits) const;
    void onAnswered(const RequestTraits& traits);
    // An attempt lost its connection, or the endpoint fell silent, after the request was sent at `sentAt`.
    void onConnectionLost(const UpstreamPointer& endpoint, const RequestTraits& traits, Instant sentAt);

private:
    void onProbeEnd(const UpstreamPointer& endpoint, bool isRefused);
    std::optional<Instant> lastAnswer(TraitId trait) const;

    boost::asio::io_context& io_;
    const Clock& clock_;
    Millis connectTimeout_;
    CrashListener* listener_ = nullptr;
    std::map<TraitId, Instant> quarantinedUntil_;
    std::set<TraitId> suspected_;
    // Crashes whose probe has not ended.
    std::map<UpstreamPointer, EndpointCrash> probed_;
    // Apart, so that many different requests don't push out prompt parts.
    AnswerTimes answeredParts_;
    AnswerTimes answeredRequests_;
    // Expires with the object, so that probes that end later are ignored.
    std::shared_ptr<CrashDetector*> self_;
};

} // namespace ragwortwinch
