// This VM's estimate of an engine's prefill queue and of how long the engine takes to prefill a prompt.
//
//     PendingPrompt prompt = load.onSent(tokens, PromptPriority::OnTime, networkMillis, now);
//     load.onPrefilled(prompt, now);
//     load.prefillMillis(PromptPriority::OnTime, tokens, networkMillis);    // for a prompt sent now
//
// Engines prefill OnTime prompts before Late ones, so a Late prompt waits for both kinds.
//
// The estimate is a model's time (a fixed time plus the queued tokens at a nominal speed) times the engine's
// slowness, the ratio of the actual times to the modelled times, each averaged over the same prompts. Errors
// in the queue length, whose part from other VMs is a heartbeat old, thus cancel out; a mean of the speeds of
// single prompts would be biased upwards by prompts whose queue was overestimated. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>

namespace ragwortwinch {

// Whether the first token of a prompt can still be on time.
enum class PromptPriority { OnTime, Late };

// Prompt tokens yet to be prefilled, by priority.
struct QueuedTokens {
    std::int64_t onTime = 0;
    std::int64_t late = 0;

    // Tokens that are prefilled before a new prompt of this priority.
    std::int64_t queuedBefore(PromptPriority priority) const
    {
        return priority == PromptPriority::OnTime ? onTime : onTime + late;
    }
    std::int64_t& withPriority(PromptPriority priority)
    {
        return priority == PromptPriority::OnTime ? onTime : late;
    }
};

// A prompt that was sent to an engine and has not been prefilled yet.
struct PendingPrompt {
    PromptPriority priority = PromptPriority::OnTime;
    std::int64_t tokens = 0;
    // Tokens to be prefilled up to and including this prompt, when it was sent.
    std::int64_t queuedTokens = 0;
    // The model's estimate, before the engine's slowness is applied.
    double modelMillis = 0;
    Instant sentAt;
};

class EngineLoad {
public:
    // Prefilled tokens per millisecond in the model: the order of magnitude of a large accelerator.
    static constexpr double nominalSpeed = 350;
    // Time per prompt besides its tokens and the network: for the engine's running batch, and the prompt's
    // own overhead.
    static constexpr double fixedMillis = 15;
    // Initial slowness of an engine that only prefills, and of one that also decodes (by the platform's
    // figures, it prefills at half the speed).
    static constexpr double prefillSlowness = 1;
    static constexpr double decodeSlowness = 2;

    PendingPrompt onSent(std::int64_t tokens, PromptPriority priority, double networkMillis, Instant now);
    void onPrefilled(const PendingPrompt& prompt, Instant now);
    // The prompt was refused or cancelled. It counts for the slowness only if it has already taken longer
    // than expected.
    void onDropped(const PendingPrompt& prompt, Instant now);
    // Resets the slowness when the engine has a new role.
    void restart(double slowness);
    // Sets the tokens of prompts from other VMs that the engine has yet to prefill.
    void setPeerTokens(QueuedTokens tokens) { peerTokens_ = tokens; }

    QueuedTokens localTokens() const { return localTokens_; }
    // Tokens to be prefilled before a prompt that is sent now.
    std::int64_t pendingTokens(PromptPriority priority) const
    {
        return localTokens_.queuedBefore(priority) + peerTokens_.queuedBefore(priority);
    }
    double slowness() const { return actualMillis_ / modelMillis_; }
    // Prefill time of `tokens` alone, without queue and network.
    double tokenMillis(std::int64_t tokens) const
    {
        return static_cast<double>(tokens) / nominalSpeed * slowness();
    }
    double queueMillis(PromptPriority priority) const { return tokenMillis(pendingTokens(priority)); }
    // From sending a prompt until it is prefilled, with queue and network round trip.
    double prefillMillis(PromptPriority priority, std::int64_t tokens, double networkMillis) const
    {
        return modelledMillis(pendingTokens(priority) + tokens, networkMillis) * slowness();
    }

private:
    // Initial value of the averages: about the time of one or two prompts.
    static constexpr double priorMillis = 100;

    static double modelledMillis(std::int64_t tokens, double networkMillis)
    {
        return fixedMillis + networkMillis + static_cast<double>(tokens) / nominalSpeed;
    }
    void addSample(const PendingPrompt& prompt, double millis);

    QueuedTokens localTokens_;
    QueuedTokens peerTokens_;
    // Exponential moving averages over prompts.
    double actualMillis_ = priorMillis * prefillSlowness;
    double modelMillis_ = priorMillis;
};

} // namespace ragwortwinch
