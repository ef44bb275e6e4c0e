#include "ragwortwinch/forward/event_stream.h"

#include <charconv>

namespace ragwortwinch {

namespace {

// Returns the value of the event's `id` line, or an empty string.
std::string_view idOf(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        std::size_t end = event.find('\n', start);
        std::string_view line = event.substr(start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        if (end == std::string_view::npos)
            break;
        start = end + 1;
    }
    return {};
}

} // namespace

std::string EventStream::append(std::string_view bytes)
{
    std::string ready;
    std::size_t eventStart = 0;
    std::size_t searchStart = rest_.size();
    rest_ += bytes;
    while (true) {
        std::size_t lineEnd = rest_.find('\n', searchStart);
        if (lineEnd == std::string::npos)
            break;
        bool isBlank = lineEnd == lineStart_ || (lineEnd == lineStart_ + 1 && rest_[lineStart_] == '\r');
        lineStart_ = searchStart = lineEnd + 1;
        if (!isBlank)
            continue;
        std::string_view event = std::string_view(rest_).substr(eventStart, lineStart_ - eventStart);
        eventStart = lineStart_;
        hasEventInReply_ = true;
        if (recordIfNew(event)) {
            ready += event;
            ++eventCount_;
            isBeforeBegunEvent_ = false;
        } else
            ++droppedEvents_;
    }
    rest_.erase(0, eventStart);
    lineStart_ -= eventStart;
    return ready;
}

void EventStream::restart()
{
    isBeforeBegunEvent_ = isInsideEvent();
    rest_.clear();
    lineStart_ = 0;
    hasEventInReply_ = false;
}

bool EventStream::hasBegunEvent() const
{
    std::string_view remaining(rest_);
    while (remaining.starts_with(':')) {
        std::size_t end = remaining.find('\n');
        if (end == std::string_view::npos)
            return true;
        remaining.remove_prefix(end + 1);
    }
    return !remaining.empty();
}

bool EventStream::recordIfNew(std::string_view event)
{
    std::string_view id = idOf(event);
    if (id.empty())
        return true;
    std::uint64_t number = 0;
    std::from_chars_result parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    bool isNumber = parsed.ec == std::errc() && parsed.ptr == id.data() + id.size();
    if (isNumber && hasNumber_ && number <= lastNumber_)
        return false;
    if (isNumber) {
        lastNumber_ = number;
        hasNumber_ = true;
    }
    lastId_ = id;
    return true;
}

} // namespace ragwortwinch
