// How much work an engine has, and how fast it reads prompts, as far as this VM knows.
//
//     PromptTicket ticket = load.onSent(tokens, PromptLane::OnTime, now);
//     load.onRead(ticket, now);                      // its first token is there
//     load.waitMillis(PromptLane::OnTime);           // how long a prompt that is sent now would wait
//
// Prompts that can still be on time go before those that will be late: what is late waits for both lanes.
// The speed is learnt from prompts that waited. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>

namespace ragwortwinch {

enum class PromptLane { OnTime, Late };

// Tokens to be read, by lane.
struct LaneTokens {
    std::int64_t onTime = 0;
    std::int64_t late = 0;

    std::int64_t before(PromptLane lane) const { return lane == PromptLane::OnTime ? onTime : onTime + late; }
    std::int64_t& of(PromptLane lane) { return lane == PromptLane::OnTime ? onTime : late; }
};

// What is remembered of one prompt that was sent.
struct PromptTicket {
    PromptLane lane = PromptLane::OnTime;
    std::int64_t tokens = 0;
    // Tokens that were to be read when it came, its own included.
    std::int64_t ahead = 0;
    Instant sentAt;
};

class EngineLoad {
public:
    // Tokens that an engine reads in a millisecond before anything is learnt of it.
    static constexpr double initialSpeed = 350;

    PromptTicket onSent(std::int64_t tokens, PromptLane lane, Instant now);
    // The prompt has been read.
    void onRead(const PromptTicket& ticket, Instant now);
    // The prompt was refused, or nothing is known of it.
    void onDropped(const PromptTicket& ticket);
    // What the other VMs have sent there and not had back.
    void setElsewhere(LaneTokens tokens) { elsewhere_ = tokens; }

    LaneTokens ownTokens() const { return own_; }
    // Tokens to be read before a prompt that is sent now.
    std::int64_t pendingTokens(PromptLane lane) const { return own_.before(lane) + elsewhere_.before(lane); }
    double tokensPerMilli() const { return speed_; }
    double waitMillis(PromptLane lane) const { return static_cast<double>(pendingTokens(lane)) / speed_; }

private:
    LaneTokens own_;
    LaneTokens elsewhere_;
    double speed_ = initialSpeed;
};

} // namespace ragwortwinch
