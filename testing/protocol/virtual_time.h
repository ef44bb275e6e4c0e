// A virtual clock with an event queue. Deterministic: events due at the same instant run in the order in
// which they were added.
//
//     VirtualTime time;
//     time.after(Millis(50), [&] { ... });
//     time.runUntil(time.now() + Millis(1000));
#pragma once

#include "ragwortwinch/base/time.h"

#include <functional>
#include <map>

namespace ragwortwinch::protocol {

class VirtualTime {
public:
    Instant now() const { return now_; }
    void after(Millis delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }
    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto first = events_.begin();
            now_ = first->first;
            std::function<void()> action = std::move(first->second);
            events_.erase(first);
            action();
        }
        now_ = end;
    }

private:
    Instant now_{Millis(1000000)};
    std::multimap<Instant, std::function<void()>> events_;
};

} // namespace ragwortwinch::protocol
