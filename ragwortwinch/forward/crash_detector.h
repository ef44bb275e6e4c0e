// Detects crashes of endpoints on the forwarding path, remembers which prompts were answered, and knows the
// prompt parts in quarantine.
//
//     detector.onConnectionLost(endpoint, request.promptParts, sentAt);
//     detector.onPromptAnswered(request.promptParts);
//     if (std::optional<QuarantinedPart> part = detector.findQuarantined(request.promptParts)) refuse();
//
// After a lost connection it connects once to the endpoint: only a refusal shows that the process has ended,
// since a broken reply or a timeout may also be due to the network or a faulty endpoint. Confined to the
// forwarding thread.
#pragma once

#include "ragwortwinch/forward/request_codec.h"
#include "ragwortwinch/forward/upstream_endpoint.h"
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
    // Prompts with a suspected part were answered completely.
    virtual void onPromptAnswered(TraitId part, Instant at) = 0;
};

struct QuarantinedPart {
    TraitId part = 0;
    Instant until;
};

class CrashDetector {
public:
    // Limits on what is kept of one crash, and of the time of the last answer of each part.
    static constexpr std::size_t maxPrompts = 64;
    static constexpr std::size_t maxPartsOfPrompt = 64;
    static constexpr std::size_t maxAnsweredParts = 8192;

    // The references must outlive the object. `connectTimeout` is for the connection that tests an endpoint.
    CrashDetector(boost::asio::io_context& io, const Clock& clock, Millis connectTimeout);
    ~CrashDetector();

    // `listener` must outlive the object or be set to null before it ends.
    void setListener(CrashListener* listener) { listener_ = listener; }
    void setQuarantine(std::map<TraitId, Instant> quarantinedUntil, std::set<TraitId> suspected);

    // Returns a part of the prompt that is in quarantine, if any. The last part never is.
    std::optional<QuarantinedPart> findQuarantined(const std::vector<PromptPart>& prompt) const;
    void onPromptAnswered(const std::vector<PromptPart>& prompt);
    // An attempt lost its connection, or the endpoint fell silent, after the prompt was sent at `sentAt`.
    void onConnectionLost(
        const UpstreamPointer& endpoint, const std::vector<PromptPart>& prompt, Instant sentAt);

private:
    class Probe;

    void onProbeEnd(const UpstreamPointer& endpoint, bool isRefused);
    void remember(TraitId part, Instant at);
    std::optional<Instant> lastAnswer(TraitId part) const;

    boost::asio::io_context& io_;
    const Clock& clock_;
    Millis connectTimeout_;
    CrashListener* listener_ = nullptr;
    std::map<TraitId, Instant> quarantinedUntil_;
    std::set<TraitId> suspected_;
    // Crashes whose probe has not ended.
    std::map<UpstreamPointer, EndpointCrash> probed_;
    // Times of last answers. The older map is dropped when the newer one is full.
    std::unordered_map<TraitId, Instant> newerAnswers_;
    std::unordered_map<TraitId, Instant> olderAnswers_;
    // Expires with the object, so that probes that end later are ignored.
    std::shared_ptr<CrashDetector*> self_;
};

} // namespace ragwortwinch
