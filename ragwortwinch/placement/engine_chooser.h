// Chooses the engine that prefills a long prompt and estimates the time to first token. Does no I/O.
//
//     PromptQuery prompt{parts, promptTokens, onTimeLimit, lateLimit};
//     std::optional<EngineChoice> choice = EngineChooser().choose(query, prompt, engines, now);
//     if (!choice) refuse();
//
// Designed for prompts that share long prefixes, under load peaks beyond the engines' prefill capacity: to
// prefill a prefix again takes engine time from other requests, so it weighs more than the network round trip
// to an engine that has it cached. Prompts that can't be on time are prefilled after those that can, as long
// as they can be answered at all. Decode engines prefill only when prefill engines can't do so in time, since
// each chunk of a prompt delays the tokens that they generate.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/endpoint_chooser.h"
#include "ragwortwinch/placement/prompt_parts.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortwinch {

struct PromptQuery {
    const std::vector<PromptPart>& parts;
    std::int64_t promptTokens = 0;
    // Longest time to first token that is on time.
    Millis onTimeLimit{0};
    // Longest time to first token that is still useful.
    Millis lateLimit{0};
    // Recent mean time from the end of prefill to the first token at a decode engine.
    double kvTransferMillis = 0;
};

struct EngineChoice {
    UpstreamPointer engine;
    // Prompt tokens that are not in the engine's cache.
    std::int64_t tokensToPrefill = 0;
    // Round trip to the engine.
    double networkMillis = 0;
    PromptPriority priority = PromptPriority::OnTime;
    // Estimated, from now.
    Millis timeToFirstToken{0};
};

class EngineChooser {
public:
    // Cost of a millisecond of prefill, relative to one of queueing.
    static constexpr double prefillWeight = 3;
    // Cost of a millisecond of network round trip, relative to one of queueing.
    static constexpr double networkWeight = 0.25;

    // Returns nullopt when the first token isn't expected within `lateLimit`.
    std::optional<EngineChoice> choose(const PlacementQuery& query, const PromptQuery& prompt,
        const std::vector<UpstreamPointer>& engines, Instant now) const;

private:
    std::optional<EngineChoice> best(const PlacementQuery& query, const PromptQuery& prompt,
        const std::vector<UpstreamPointer>& engines, PromptPriority priority,
        const UpstreamEndpoint* affinityEngine) const;
};

// Typical network round trip over `distance`, in milliseconds.
double roundTripMillis(Distance distance);

} // namespace ragwortwinch
