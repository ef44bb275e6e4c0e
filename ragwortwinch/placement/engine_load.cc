#include "ragwortwinch/placement/engine_load.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

// Weight of one prompt in the moving averages: they cover about 20 prompts, 0.2 s of a busy engine.
constexpr double sampleWeight = 0.05;
// Upper bound on one prompt's actual time, as a multiple of the model's: the engine may have frozen.
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
    std::int64_t queuedTokens = pendingTokens(priority);
    return {priority, tokens, queuedTokens, modelledMillis(queuedTokens, networkMillis), now};
}

void EngineLoad::addSample(const PendingPrompt& prompt, double millis)
{
    // The time of a Late prompt depends on an unknown number of prompts that overtake it.
    if (prompt.priority == PromptPriority::Late)
        return;
    actualMillis_ += (std::min(millis, prompt.modelMillis * maxSlowness) - actualMillis_) * sampleWeight;
    modelMillis_ += (prompt.modelMillis - modelMillis_) * sampleWeight;
}

void EngineLoad::onPrefilled(const PendingPrompt& prompt, Instant now)
{
    localTokens_.withPriority(prompt.priority) -= prompt.tokens;
    addSample(prompt, millisSince(prompt, now));
}

void EngineLoad::onDropped(const PendingPrompt& prompt, Instant now)
{
    localTokens_.withPriority(prompt.priority) -= prompt.tokens;
    double millis = millisSince(prompt, now);
    if (millis > prompt.modelMillis * slowness())
        addSample(prompt, millis);
}

void EngineLoad::restart(double slowness)
{
    actualMillis_ = priorMillis * slowness;
    modelMillis_ = priorMillis;
}

} // namespace ragwortwinch
