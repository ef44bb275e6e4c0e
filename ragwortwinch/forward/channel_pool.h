// Keeps idle connections to endpoints for reuse.
//
//     ChannelPointer channel = pool.take(endpoint, now, 0.5);    // null: make a new one
//     pool.give(channel, now);
//     pool.sweep(endpoints, now);                                // now and then
//
// A connection is kept below the idle time that its endpoint announces, and dropped when anything arrives on
// it that nobody asked for. Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/forward/endpoint_channel.h"

#include <vector>

namespace ragwortwinch {

class ChannelPool {
public:
    // Of the announced idle time, what is used; the rest covers the way of the last request.
    static constexpr double usableIdleFraction = 0.7;
    // For endpoints that announce no idle time.
    static constexpr Millis defaultKeepAlive{4000};
    // Idle connections kept for each endpoint.
    static constexpr std::size_t maxIdle = 64;

    // Returns a connection that has been idle for less than `maxIdleFraction` of its life, or null.
    ChannelPointer acquire(const UpstreamPointer& endpoint, Instant now, double maxIdleFraction);
    void release(const ChannelPointer& channel, Instant now);
    // Closes what has been idle for too long, was closed by the other end, or belongs to endpoints that are
    // gone.
    void sweep(const std::vector<UpstreamPointer>& endpoints, Instant now);

private:
    static bool isFresh(const EndpointChannel& channel, Instant now, double fraction);
};

} // namespace ragwortwinch
