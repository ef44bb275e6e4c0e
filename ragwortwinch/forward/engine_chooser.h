// Chooses the engine that reads a long prompt, and says how long the first token will take. A pure decision.
//
//     EngineChooser chooser;
//     std::optional<EngineChoice> choice = chooser.choose(query, engines, now);
//     if (!choice || choice->firstToken > timeLeft) refuse();
//
// It answers the load of prompts that share long parts, in swings beyond what the engines can read: reading a
// part again costs engine time that others need, so it counts more than the way to an engine that has it.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/endpoint_chooser.h"
#include "ragwortwinch/forward/request_codec.h"
#include "ragwortwinch/forward/upstream_endpoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortwinch {

struct EngineChoice {
    UpstreamPointer engine;
    // Tokens that it will have to read.
    std::int64_t tokensToRead = 0;
    // From now to the first token, as estimated.
    Millis firstToken{0};
};

class EngineChooser {
public:
    // How often a millisecond of an engine's time counts against one of waiting.
    static constexpr double readWeight = 3;
    // How often a millisecond of the way counts.
    static constexpr double wayWeight = 0.25;
    // A part of its speed with which an engine for decode reads prompts itself.
    static constexpr double decodeReadSpeed = 0.5;
    // Handing the memory over and making the first token.
    static constexpr double handOverMillis = 12;

    std::optional<EngineChoice> choose(const PlacementQuery& query, const std::vector<PromptPart>& parts,
        std::int64_t promptTokens, const std::vector<UpstreamPointer>& engines, Instant now) const;
};

// A round trip to an endpoint at a distance, in milliseconds.
double roundTripMillis(Distance distance);

} // namespace ragwortwinch
