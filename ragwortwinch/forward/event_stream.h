// Splits a stream of server-sent events into complete events.
//
//     EventStream events;
//     std::string ready = events.append(bytes);     // complete new events
//     events.lastId();
//
// Drops events with a numeric id not greater than the last one, so that a resumed stream has no duplicates.
// Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortwinch {

class EventStream {
public:
    // Limit on an event, including comments before it.
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    // Returns the new events that `bytes` complete, unchanged.
    std::string append(std::string_view bytes);
    // The bytes after the last complete event.
    const std::string& rest() const { return rest_; }
    bool isEventTooLong() const { return rest_.size() > maxEventBytes; }
    // Whether an event has begun, in this reply or one before it, that is not whole yet.
    bool isInsideEvent() const { return isBeforeBegunEvent_ || hasBegunEvent(); }
    // Whether the current reply has had a whole event.
    bool hasEventInReply() const { return hasEventInReply_; }
    // Prepares for another reply that resumes the same stream.
    void restart();
    // The id of the last returned event that has one; empty before the first.
    const std::string& lastId() const { return lastId_; }
    std::uint64_t eventCount() const { return eventCount_; }
    std::uint64_t droppedEvents() const { return droppedEvents_; }

private:
    // Whether `rest` has a part of an event. Whole lines of comments belong to none.
    bool hasBegunEvent() const;
    // Records the event's id. Returns false for an event that was returned before.
    bool recordIfNew(std::string_view event);

    std::string rest_;
    // Where the last line of `rest_` starts; it has no line end yet.
    std::size_t lineStart_ = 0;
    std::string lastId_;
    std::uint64_t lastNumber_ = 0;
    bool hasNumber_ = false;
    bool hasEventInReply_ = false;
    // An earlier reply ended inside an event that has not come since.
    bool isBeforeBegunEvent_ = false;
    std::uint64_t eventCount_ = 0;
    std::uint64_t droppedEvents_ = 0;
};

} // namespace ragwortwinch
