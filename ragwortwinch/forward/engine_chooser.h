// Chooses the engine that reads a long prompt, and says how long the first token will take. A pure decision.
//
//     PromptQuery prompt{parts, promptTokens, onTimeLimit, lateLimit};
//     std::optional<EngineChoice> choice = EngineChooser().choose(query, prompt, engines, now);
//     if (!choice) refuse();
//
// It answers the load of prompts that share long parts, in swings beyond what the engines can read: reading a
// part again costs engine time that others need, so it counts more than the way to an engine that has it.
// What can't be on time is read behind what can, as long as it can be answered at all. Engines for decode
// read prompts only when those for prefill can't in time, since every piece that they read delays their
// tokens.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/endpoint_chooser.h"
#include "ragwortwinch/forward/request_codec.h"
#include "ragwortwinch/forward/upstream_endpoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortwinch {

struct PromptQuery {
    const std::vector<PromptPart>& parts;
    std::int64_t promptTokens = 0;
    // The first token is on time within this.
    Millis onTimeLimit{0};
    // The first token is of use within this.
    Millis lateLimit{0};
    // From a prompt that was read to its first token at another engine, as lately seen.
    double kvTransferMillis = 0;
};

struct EngineChoice {
    UpstreamPointer engine;
    // Tokens that it will have to read.
    std::int64_t tokensToPrefill = 0;
    // A round trip to it.
    double networkMillis = 0;
    PromptPriority priority = PromptPriority::OnTime;
    // From now to the first token, as estimated.
    Millis timeToFirstToken{0};
};

class EngineChooser {
public:
    // How often a millisecond of an engine's time counts against one of waiting.
    static constexpr double prefillWeight = 3;
    // How often a millisecond of the way counts.
    static constexpr double networkWeight = 0.25;

    // Returns nothing when no engine can make the first token within the late limit.
    std::optional<EngineChoice> choose(const PlacementQuery& query, const PromptQuery& prompt,
        const std::vector<UpstreamPointer>& engines, Instant now) const;

private:
    std::optional<EngineChoice> best(const PlacementQuery& query, const PromptQuery& prompt,
        const std::vector<UpstreamPointer>& engines, PromptPriority priority,
        const UpstreamEndpoint* home) const;
};

// A round trip to an endpoint at a distance, in milliseconds.
double roundTripMillis(Distance distance);

} // namespace ragwortwinch
