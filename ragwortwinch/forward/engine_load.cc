#include "ragwortwinch/forward/engine_load.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Only prompts with so much before them tell the speed; for others the way there and back counts more.
constexpr std::int64_t leastAhead = 20000;
constexpr double sampleWeight = 0.05;
// Bounds on what is believed, around the initial speed.
constexpr double slowest = EngineLoad::initialSpeed / 8;
constexpr double fastest = EngineLoad::initialSpeed * 8;

} // namespace

PromptTicket EngineLoad::onSent(std::int64_t tokens, PromptLane lane, Instant now)
{
    own_.of(lane) += tokens;
    return {lane, tokens, pendingTokens(lane), now};
}

void EngineLoad::onRead(const PromptTicket& ticket, Instant now)
{
    own_.of(ticket.lane) -= ticket.tokens;
    double millis = static_cast<double>((now - ticket.sentAt).count());
    // What overtakes a late prompt isn't known.
    if (ticket.lane == PromptLane::Late || ticket.ahead < leastAhead || millis < 1)
        return;
    double sample = std::clamp(static_cast<double>(ticket.ahead) / millis, slowest, fastest);
    speed_ += (sample - speed_) * sampleWeight;
}

void EngineLoad::onDropped(const PromptTicket& ticket) { own_.of(ticket.lane) -= ticket.tokens; }

} // namespace ragwortwinch
