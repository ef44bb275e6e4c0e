// Bounds the age of peers' digests by the local clock: a digest that echoes a heartbeat of this node was made
// after that heartbeat was sent.
//
//     digest.sequence = echoes.next(now);
//     digest.echo = echoes.lastSequenceFrom(peer);
//     std::optional<Instant> madeAfter = echoes.sentAt(received.echo);
//
// Control thread only.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ragwortwinch {

class HeartbeatEchoes {
public:
    // Records a heartbeat sent at `now` and returns its sequence number.
    std::uint64_t next(Instant now)
    {
        sentAt_[++sequence_] = now;
        if (sentAt_.size() > maxRetainedHeartbeats)
            sentAt_.erase(sentAt_.begin());
        return sequence_;
    }
    void onPeerHeartbeat(const std::string& peer, std::uint64_t sequence) { lastSequences_[peer] = sequence; }
    // Returns the peer's latest sequence number, or 0 if there is none.
    std::uint64_t lastSequenceFrom(const std::string& peer) const
    {
        auto found = lastSequences_.find(peer);
        return found == lastSequences_.end() ? 0 : found->second;
    }
    // Returns when this node's heartbeat `sequence` was sent, or nullopt if it is no longer retained.
    std::optional<Instant> sentAt(std::uint64_t sequence) const
    {
        auto found = sentAt_.find(sequence);
        return found == sentAt_.end() ? std::nullopt : std::optional<Instant>(found->second);
    }

private:
    static constexpr std::size_t maxRetainedHeartbeats = 2000;

    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, Instant> sentAt_;
    std::map<std::string, std::uint64_t> lastSequences_;
};

} // namespace ragwortwinch
