#include "ragwortwinch/forward/engine_load.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// One prompt's weight against the history: about twenty prompts, a fifth of a second of a busy engine.
constexpr double sampleWeight = 0.05;
// What one prompt may count at most, in times of the model: it may have met an engine that froze.
constexpr double mostSlowness = 20;

double millisSince(const PromptTicket& ticket, Instant now)
{
    return static_cast<double>((now - ticket.sentAt).count());
}

} // namespace

PromptTicket EngineLoad::onSent(std::int64_t tokens, PromptLane lane, double wayMillis, Instant now)
{
    own_.of(lane) += tokens;
    std::int64_t ahead = pendingTokens(lane);
    return {lane, tokens, ahead, modelFor(ahead, wayMillis), now};
}

void EngineLoad::learn(const PromptTicket& ticket, double millis)
{
    // What overtakes a late prompt isn't known.
    if (ticket.lane == PromptLane::Late)
        return;
    actualMillis_ += (std::min(millis, ticket.modelMillis * mostSlowness) - actualMillis_) * sampleWeight;
    modelMillis_ += (ticket.modelMillis - modelMillis_) * sampleWeight;
}

void EngineLoad::onRead(const PromptTicket& ticket, Instant now)
{
    own_.of(ticket.lane) -= ticket.tokens;
    learn(ticket, millisSince(ticket, now));
}

void EngineLoad::onDropped(const PromptTicket& ticket, Instant now)
{
    own_.of(ticket.lane) -= ticket.tokens;
    double millis = millisSince(ticket, now);
    if (millis > ticket.modelMillis * slowness())
        learn(ticket, millis);
}

void EngineLoad::restart(double slowness)
{
    actualMillis_ = priorMillis * slowness;
    modelMillis_ = priorMillis;
}

} // namespace ragwortwinch
