#include "ragwortwinch/forward/engine_load.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// One prompt's weight against the history: about twenty prompts, a fifth of a second of a busy engine.
constexpr double sampleWeight = 0.05;
// What one prompt may count at most, in times of the model: it may have met an engine that froze.
constexpr double maxSlowness = 20;

double millisSince(const PendingPrompt& prompt, Instant now)
{
    return static_cast<double>((now - prompt.sentAt).count());
}

} // namespace

PendingPrompt EngineLoad::onSent(
    std::int64_t tokens, PromptPriority priority, double networkMillis, Instant now)
{
    localTokens_.withPriority(priority) += tokens;
    std::int64_t tokensAhead = pendingTokens(priority);
    return {priority, tokens, tokensAhead, modelFor(tokensAhead, networkMillis), now};
}

void EngineLoad::learn(const PendingPrompt& prompt, double millis)
{
    // What overtakes a late prompt isn't known.
    if (prompt.priority == PromptPriority::Late)
        return;
    actualMillis_ += (std::min(millis, prompt.modelMillis * maxSlowness) - actualMillis_) * sampleWeight;
    modelMillis_ += (prompt.modelMillis - modelMillis_) * sampleWeight;
}

void EngineLoad::onPrefilled(const PendingPrompt& prompt, Instant now)
{
    localTokens_.withPriority(prompt.priority) -= prompt.tokens;
    learn(prompt, millisSince(prompt, now));
}

void EngineLoad::onDropped(const PendingPrompt& prompt, Instant now)
{
    localTokens_.withPriority(prompt.priority) -= prompt.tokens;
    double millis = millisSince(prompt, now);
    if (millis > prompt.modelMillis * slowness())
        learn(prompt, millis);
}

void EngineLoad::restart(double slowness)
{
    actualMillis_ = priorMillis * slowness;
    modelMillis_ = priorMillis;
}

} // namespace ragwortwinch
