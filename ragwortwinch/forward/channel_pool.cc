#include "ragwortwinch/forward/channel_pool.h"

#include <algorithm>

namespace ragwortwinch {

bool ChannelPool::isFresh(const EndpointChannel& channel, Instant now, double fraction)
{
    Millis keepAliveTime = channel.keepAlive.count() > 0 ? channel.keepAlive : defaultKeepAlive;
    return std::chrono::duration<double>(now - channel.idleSince)
        < std::chrono::duration<double>(keepAliveTime) * fraction;
}

ChannelPointer ChannelPool::acquire(const UpstreamPointer& endpoint, Instant now, double maxIdleFraction)
{
    while (!endpoint->idleChannels.empty()) {
        ChannelPointer channel = endpoint->idleChannels.back();
        // The others have been idle for longer.
        if (!isFresh(*channel, now, std::min(maxIdleFraction, usableIdleFraction)))
            return nullptr;
        endpoint->idleChannels.pop_back();
        if (channel->isIdleAndOpen())
            return channel;
        channel->reset();
    }
    return nullptr;
}

void ChannelPool::release(const ChannelPointer& channel, Instant now)
{
    channel->idleSince = now;
    const UpstreamPointer& endpoint = channel->endpoint();
    if (endpoint->idleChannels.size() >= maxIdle || !endpoint->isRegistered) {
        channel->reset();
        return;
    }
    endpoint->idleChannels.push_back(channel);
}

void ChannelPool::sweep(const std::vector<UpstreamPointer>& endpoints, Instant now)
{
    for (const UpstreamPointer& endpoint : endpoints) {
        std::erase_if(endpoint->idleChannels, [&](const ChannelPointer& channel) {
            bool isKept = endpoint->isRegistered && isFresh(*channel, now, usableIdleFraction)
                && channel->isIdleAndOpen();
            if (!isKept)
                channel->reset();
            return !isKept;
        });
    }
}

} // namespace ragwortwinch
