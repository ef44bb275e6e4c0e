// Keeps idle connections to endpoints for reuse.
//
//     ChannelPointer channel = pool.acquire(endpoint, now, 0.5);    // null: make a new one
//     pool.release(channel, now);
//     pool.sweep(endpoints, now);                                // periodically
//
// A connection is closed before its endpoint's keep-alive time ends, or when unsolicited data arrives on it.
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/forward/endpoint_channel.h"

#include <vector>

namespace ragwortwinch {

class ChannelPool {
public:
    // Fraction of the keep-alive time that is used; the rest covers the network delay of a request sent at
    // its end.
    static constexpr double usableIdleFraction = 0.7;
    // For endpoints that announce no keep-alive time.
    static constexpr Millis defaultKeepAlive{4000};
    // Largest number of idle connections per endpoint.
    static constexpr std::size_t maxIdle = 64;

    // Returns a connection that was idle for less than `maxIdleFraction` of its keep-alive time, or null.
    // A `maxIdleFraction` above `usableIdleFraction` is reduced to it.
    ChannelPointer acquire(const UpstreamPointer& endpoint, Instant now, double maxIdleFraction);
    void release(const ChannelPointer& channel, Instant now);
    // Closes connections that were idle for too long, were closed by the endpoint, or whose endpoint is no
    // longer registered.
    void sweep(const std::vector<UpstreamPointer>& endpoints, Instant now);

private:
    static bool isFresh(const EndpointChannel& channel, Instant now, double fraction);
};

} // namespace ragwortwinch
