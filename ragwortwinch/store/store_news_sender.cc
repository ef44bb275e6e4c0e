#include "ragwortwinch/store/store_news_sender.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

namespace {

// Flags, revision and lengths of one change.
constexpr std::size_t changeOverhead = 17;

} // namespace

void StoreNewsSender::erase(const std::string& key)
{
    auto number = numberByKey_.find(key);
    if (number == numberByKey_.end())
        return;
    pending_.erase(number->second);
    numberByKey_.erase(number);
}

void StoreNewsSender::clear()
{
    pending_.clear();
    numberByKey_.clear();
}

void StoreNewsSender::onOwnChange(Instant now, StoreEvent event)
{
    erase(event.key);
    numberByKey_[event.key] = ++lastNumber_;
    pending_[lastNumber_] = {now, std::move(event)};
}

void StoreNewsSender::onPeerChange(const StoreEvent& event)
{
    auto number = numberByKey_.find(event.key);
    if (number != numberByKey_.end() && pending_.at(number->second).event.revision <= event.revision)
        erase(event.key);
}

std::vector<StoreEvent> StoreNewsSender::take(Instant now, std::size_t peerCount)
{
    double seconds = std::chrono::duration<double>(now - availableAt_).count();
    available_ = std::min(burstBytes, available_ + std::max(seconds, 0.0) * bytesPerSecond);
    availableAt_ = now;
    std::vector<StoreEvent> changes;
    while (!pending_.empty()) {
        Pending& next = pending_.begin()->second;
        if (now - next.since > maxAge) {
            ++droppedCount_;
            erase(std::string(next.event.key));
            continue;
        }
        std::size_t size = next.event.key.size() + next.event.value.size() + changeOverhead;
        double cost = static_cast<double>(size * peerCount);
        // A change that costs more than the whole burst goes when nothing else was sent.
        if (cost > available_ && available_ < burstBytes)
            break;
        available_ -= cost;
        changes.push_back(next.event);
        erase(changes.back().key);
    }
    return changes;
}

} // namespace ragwortwinch
