// How much work an engine has, and how fast it reads prompts, as far as this VM knows.
//
//     load.onSent(tokens, now);            // a prompt of which so many tokens must be read
//     load.onRead(ticket, now);            // its first token is there
//     load.waitMillis();                   // how long a prompt that is sent now would wait
//
// The speed is learnt from prompts that waited. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>

namespace ragwortwinch {

// What is remembered of one prompt that was sent.
struct PromptTicket {
    std::int64_t tokens = 0;
    // Tokens that were to be read when it came, its own included.
    std::int64_t ahead = 0;
    Instant sentAt;
};

class EngineLoad {
public:
    // Tokens that an engine reads in a millisecond before anything is learnt of it.
    static constexpr double initialSpeed = 350;

    PromptTicket onSent(std::int64_t tokens, Instant now);
    // The prompt has been read.
    void onRead(const PromptTicket& ticket, Instant now);
    // The prompt was refused, or nothing is known of it.
    void onDropped(const PromptTicket& ticket);
    // What the other VMs have sent there and not had back.
    void setElsewhere(std::int64_t tokens) { elsewhere_ = tokens; }

    std::int64_t ownTokens() const { return own_; }
    std::int64_t pendingTokens() const { return own_ + elsewhere_; }
    double tokensPerMilli() const { return speed_; }
    double waitMillis() const { return static_cast<double>(pendingTokens()) / speed_; }

private:
    std::int64_t own_ = 0;
    std::int64_t elsewhere_ = 0;
    double speed_ = initialSpeed;
};

} // namespace ragwortwinch
