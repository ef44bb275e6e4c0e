// How much work an engine has, and how long it takes to read prompts, as far as this VM knows.
//
//     PendingPrompt ticket = load.onSent(tokens, PromptPriority::OnTime, networkMillis, now);
//     load.onPrefilled(ticket, now);                      // the prompt has been read
//     load.prefillMillis(PromptPriority::OnTime, tokens, networkMillis);    // how long one that is sent now
//     would take
//
// Prompts that can still be on time go before those that will be late: what is late waits for both lanes.
//
// The time is that of a model, a fixed part and the tokens ahead at a nominal speed, times the engine's
// slowness: what its prompts took in all against what the model gave for them. Both sums are over the same
// prompts, so that wrong counts of tokens ahead (what other VMs tell is a heartbeat old) cancel out; the mean
// of single speeds would be drawn up by prompts whose count is too great. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>

namespace ragwortwinch {

enum class PromptPriority { OnTime, Late };

// Tokens to be read, by lane.
struct QueuedTokens {
    std::int64_t onTime = 0;
    std::int64_t late = 0;

    std::int64_t queuedBefore(PromptPriority priority) const
    {
        return priority == PromptPriority::OnTime ? onTime : onTime + late;
    }
    std::int64_t& withPriority(PromptPriority priority)
    {
        return priority == PromptPriority::OnTime ? onTime : late;
    }
};

// What is remembered of one prompt that was sent.
struct PendingPrompt {
    PromptPriority priority = PromptPriority::OnTime;
    std::int64_t tokens = 0;
    // Tokens that were to be read when it came, its own included.
    std::int64_t tokensAhead = 0;
    // What the model gave.
    double modelMillis = 0;
    Instant sentAt;
};

class EngineLoad {
public:
    // Tokens that the model has an engine read in a millisecond: the order of what a large accelerator does.
    static constexpr double nominalSpeed = 350;
    // A prompt takes so long beside its tokens and the way: the batch that runs when it comes, and its own.
    static constexpr double fixedMillis = 15;
    // Before anything is learnt, of an engine that only reads, and of one that makes tokens meanwhile (the
    // platform: half the speed).
    static constexpr double prefillSlowness = 1;
    static constexpr double decodeSlowness = 2;

    PendingPrompt onSent(std::int64_t tokens, PromptPriority priority, double networkMillis, Instant now);
    // The prompt has been read.
    void onPrefilled(const PendingPrompt& prompt, Instant now);
    // The prompt was refused or given up. It counts for the slowness if it has taken longer than expected by
    // then.
    void onDropped(const PendingPrompt& prompt, Instant now);
    // Forgets what was learnt, since the engine has a new role.
    void restart(double slowness);
    // What the other VMs have sent there and not had back.
    void setPeerTokens(QueuedTokens tokens) { peerTokens_ = tokens; }

    QueuedTokens localTokens() const { return localTokens_; }
    // Tokens to be read before a prompt that is sent now.
    std::int64_t pendingTokens(PromptPriority priority) const
    {
        return localTokens_.queuedBefore(priority) + peerTokens_.queuedBefore(priority);
    }
    double slowness() const { return actualMillis_ / modelMillis_; }
    // How long so many tokens take by themselves.
    double tokenMillis(std::int64_t tokens) const
    {
        return static_cast<double>(tokens) / nominalSpeed * slowness();
    }
    double queueMillis(PromptPriority priority) const { return tokenMillis(pendingTokens(priority)); }
    // From sending a prompt of so many tokens until it has been read, the way there and back included.
    double prefillMillis(PromptPriority priority, std::int64_t tokens, double networkMillis) const
    {
        return modelFor(pendingTokens(priority) + tokens, networkMillis) * slowness();
    }

private:
    // What the sums begin with, in milliseconds of the model: a prompt or two.
    static constexpr double priorMillis = 100;

    static double modelFor(std::int64_t tokens, double networkMillis)
    {
        return fixedMillis + networkMillis + static_cast<double>(tokens) / nominalSpeed;
    }
    void learn(const PendingPrompt& prompt, double millis);

    QueuedTokens localTokens_;
    QueuedTokens peerTokens_;
    // Decaying sums over the prompts that were read.
    double actualMillis_ = priorMillis * prefillSlowness;
    double modelMillis_ = priorMillis;
};

} // namespace ragwortwinch
