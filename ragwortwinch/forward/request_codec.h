// Translates between the names on the wire and the types of the forwarding path. A platform's adapter
// implements it; nothing else knows those names.
//
//     CallerRequest request = codec.decodeRequest(fields);
//     codec.appendForwarded(text, fields, forwarded);
//     EndpointReply reply = codec.decodeReply(fields);
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/net/http_fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

// A part of a prompt, which several requests may share.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

// What a caller's header says.
struct CallerRequest {
    // Names one try of one request; empty when the caller sent none.
    std::string id;
    std::string key;
    // How long the caller will wait.
    std::optional<Millis> timeLimit;
    // The last event that the caller has, when it resumes a stream.
    std::string lastEventId;
    // In order; the last part belongs to the request or its session alone.
    std::vector<PromptPart> promptParts;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
};

// What the system says to an endpoint beside the caller's own fields.
struct ForwardedFields {
    Millis timeLeft{0};
    // The endpoint that is meant; another one at the same address refuses.
    std::string endpointId;
    // Empty on open routes.
    std::string team;
    // Engines only: 0 is the most urgent.
    std::optional<int> priority;
    // Asks an engine to read the prompt and keep it, without running the request.
    bool isPrefill = false;
    // Where an engine finds the prompt that another one has read: "address/handle".
    std::string cacheSource;
    // Continues a stream after this event.
    std::string resumeAfter;
};

// What the header of an endpoint's answer says.
struct EndpointReply {
    std::string requestId;
    // The endpoint promises that it hasn't run the request and never will.
    bool isNotExecuted = false;
    // The endpoint signs what it answers itself.
    bool isSigned = false;
    // How long it keeps an idle connection; nothing when it didn't say.
    std::optional<Millis> keepAlive;
};

// Thread-safe.
class RequestCodec {
public:
    virtual ~RequestCodec() = default;
    virtual CallerRequest decodeRequest(const HttpFields&) const = 0;
    // Appends the header lines for an endpoint: the caller's, less those that are the system's to set and
    // those of one connection, and then the system's own.
    virtual void appendForwarded(
        std::string& out, const HttpFields& caller, const ForwardedFields& own) const = 0;
    virtual EndpointReply decodeReply(const HttpFields&) const = 0;
    // Returns the handle in the body of the answer to a prefill, or an empty text.
    virtual std::string decodePrefillHandle(std::string_view body) const = 0;
    // The target of the DELETE that frees a handle.
    virtual std::string freeHandleTarget(const std::string& handle) const = 0;
    // Appends the header lines of an answer that the system itself gives to the request `requestId`.
    virtual void appendLocalReply(std::string& out, const std::string& requestId) const = 0;
};

// True for fields that concern one connection and are never passed on.
bool isConnectionField(std::string_view name);

} // namespace ragwortwinch
