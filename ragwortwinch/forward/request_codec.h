// Translates between a platform's header fields and the types of the forwarding path. Each platform
// implements it; the field names are used nowhere else.
//
//     CallerRequest request = codec.decodeRequest(fields);
//     codec.appendForwarded(text, fields, forwarded);
//     EndpointReply reply = codec.decodeReply(fields);
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_fields.h"
#include "ragwortwinch/placement/prompt_parts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

// The decoded header of a caller's request.
struct CallerRequest {
    // Identifies one try by the caller; the system's own retries keep it. Empty if the caller sent none.
    std::string id;
    // The key of the caller's team; empty if the caller sent none.
    std::string key;
    // How long the caller waits for the reply.
    std::optional<Millis> timeLimit;
    // Id of the last event that the caller received, if it resumes a stream.
    std::string lastEventId;
    // In order. The last part is specific to the request or its session; the others may be shared.
    std::vector<PromptPart> promptParts;
    // Whether the caller has named the numbers of tokens.
    bool hasTokenCounts = false;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
};

// Fields that the system adds to a forwarded request.
struct ForwardedFields {
    Millis timeLeft{0};
    // The intended endpoint; another one at the same address refuses.
    std::string endpointId;
    // Empty on open routes and when no teams are configured.
    std::string team;
    // For engines only; 0 is the most urgent.
    std::optional<int> priority;
    // Asks an engine only to prefill the prompt and to keep its KV cache.
    bool isPrefill = false;
    // From where an engine fetches the prompt's KV cache: "address/handle".
    std::string cacheSource;
    // Id of the event after which to resume a stream; empty for a new request.
    std::string resumeAfter;
};

// The decoded header of an endpoint's reply.
struct EndpointReply {
    std::string requestId;
    // The head names two requests or has two signatures, as one that is put together from two replies.
    bool isContradictory = false;
    // The endpoint has not run the request and never will.
    bool isNotExecuted = false;
    // The reply has the endpoint's signature, so the endpoint itself produced it.
    bool isSigned = false;
    // The body is encoded, which an endpoint never does: it isn't the endpoint's.
    bool isEncoded = false;
    // The requests a second that the endpoint takes from all VMs together, if it names a limit.
    std::optional<double> requestLimit;
    // The endpoint is leaving and wants no new requests.
    bool isLeaving = false;
    // How long the endpoint wants no requests from this VM; meaningful in refusals.
    std::optional<Millis> retryAfter;
    // How long the endpoint keeps an idle connection open, if announced.
    std::optional<Millis> keepAlive;
};

// Thread-safe.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;
    virtual CallerRequest decodeRequest(const HttpFields&) const = 0;
    // Appends the header lines for an endpoint: the caller's, except connection fields and those that only
    // the system may set, followed by the system's.
    virtual void appendForwarded(
        std::string& out, const HttpFields& caller, const ForwardedFields& forwarded) const = 0;
    virtual EndpointReply decodeReply(const HttpFields&) const = 0;
    // Returns the KV cache handle in the body of a prefill reply, or an empty string.
    virtual std::string decodePrefillHandle(std::string_view body) const = 0;
    // Returns the target of the DELETE request that frees a handle.
    virtual std::string freeHandleTarget(const std::string& handle) const = 0;
    // Appends the header lines of a local reply to the request `requestId`.
    virtual void appendLocalReply(std::string& out, const std::string& requestId) const = 0;
};

// Parses the value of a Retry-After field: seconds, which may have fractions. Dates, which say nothing
// without the sender's clock, and other values yield nullopt; long times are cut to `maxRetryAfter`.
std::optional<Millis> parseRetryAfter(std::string_view text);
// A longer time is not credible: an endpoint registers or leaves within it.
inline constexpr Millis maxRetryAfter{10 * 60 * 1000};

// Returns whether a field must not be forwarded: it applies to a single connection, or the system sets or
// handles it itself.
bool isConnectionField(std::string_view name);

} // namespace ragwortwinch
