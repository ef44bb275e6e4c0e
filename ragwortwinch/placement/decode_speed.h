// How fast an engine generates tokens, as seen in the streams of this VM, and what that means for the choice
// of an engine.
//
//     endpoint.tokenTime.addTokens(1, Millis(12), now);             // each part of a stream
//     penalty.occupancy(engine, *soundTokenMillis(engines, now), now);    // is added to the engine's
//     occupancy
//
// Designed for engines of which some are slow for good (a quarter at 0.55 of the speed against 1.2) and each
// may be slowed 2.5 times for 0.6 s at a time.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/upstream_endpoint.h"

#include <optional>
#include <vector>

namespace ragwortwinch {

// Returns the lower quartile of the times per token of the engines that are known, which stays that of sound
// engines when half are slow or slowed; nullopt if fewer than two are known.
std::optional<double> soundTokenMillis(const std::vector<UpstreamPointer>& engines, Instant now);

class DecodePenalty {
public:
    virtual ~DecodePenalty() = default;
    // Returns by how much fuller the engine counts in the choice for a stream, as a part of its slots.
    virtual double occupancy(const UpstreamEndpoint& engine, double soundMillis, Instant now) const = 0;
};

// Baseline: all engines are taken to be equally fast.
class NoDecodePenalty final : public DecodePenalty {
public:
    double occupancy(const UpstreamEndpoint&, double, Instant) const override { return 0; }
};

// By the engine's time per token relative to the others: a stream takes as much longer, whatever the load,
// until slots are scarce.
class ExpectedTimePenalty final : public DecodePenalty {
public:
    // Differences below this are noise: tokens come in milliseconds, and batches differ in size.
    static constexpr double minRatio = 1.2;
    // Bound, so that slow engines are used before fast ones are full.
    static constexpr double maxPenalty = 0.6;

    double occupancy(const UpstreamEndpoint& engine, double soundMillis, Instant now) const override;
};

} // namespace ragwortwinch
