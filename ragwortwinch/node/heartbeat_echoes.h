// Dates what peers say by our own clock: a digest that echoes our heartbeat was made after that was sent.
//
//     digest.sequence = echoes.next(now);
//     digest.echo = echoes.lastSequenceFrom(peer);
//     std::optional<Instant> madeAfter = echoes.sentAt(received.echo);
//
// Belongs to the control thread.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ragwortwinch {

class HeartbeatEchoes {
public:
    // Returns the next heartbeat's sequence number.
    std::uint64_t next(Instant now)
    {
        sentAt_[++sequence_] = now;
        if (sentAt_.size() > maxRetained)
            sentAt_.erase(sentAt_.begin());
        return sequence_;
    }
    void onPeerHeartbeat(const std::string& peer, std::uint64_t sequence) { lastSequences_[peer] = sequence; }
    // Returns the peer's latest sequence number, or 0.
    std::uint64_t lastSequenceFrom(const std::string& peer) const
    {
        auto found = lastSequences_.find(peer);
        return found == lastSequences_.end() ? 0 : found->second;
    }
    // Returns when our heartbeat of that number was sent, if it is among the latest.
    std::optional<Instant> sentAt(std::uint64_t sequence) const
    {
        auto found = sentAt_.find(sequence);
        return found == sentAt_.end() ? std::nullopt : std::optional<Instant>(found->second);
    }

private:
    static constexpr std::size_t maxRetained = 2000;

    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, Instant> sentAt_;
    std::map<std::string, std::uint64_t> lastSequences_;
};

} // namespace ragwortwinch
