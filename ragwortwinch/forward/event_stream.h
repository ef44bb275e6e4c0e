// Cuts a stream of server-sent events into whole events and keeps their order.
//
//     EventStream events;
//     std::string ready = events.append(bytes);     // whole events that the caller hasn't had
//     events.lastId();
//
// Events whose id isn't greater than the last one are dropped, so that a resumed stream repeats nothing.
// Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortwinch {

class EventStream {
public:
    // Returns the whole events that `bytes` complete, as they came.
    std::string append(std::string_view bytes);
    // The bytes after the last whole event.
    const std::string& rest() const { return rest_; }
    // Begins to read another answer that continues the same stream.
    void restart() { rest_.clear(); }
    // The id of the last event that was returned; empty before the first.
    const std::string& lastId() const { return lastId_; }
    std::uint64_t eventCount() const { return eventCount_; }
    std::uint64_t droppedEvents() const { return droppedEvents_; }

private:
    bool isNew(std::string_view event);

    std::string rest_;
    std::string lastId_;
    std::uint64_t lastNumber_ = 0;
    bool hasNumber_ = false;
    std::uint64_t eventCount_ = 0;
    std::uint64_t droppedEvents_ = 0;
};

} // namespace ragwortwinch
