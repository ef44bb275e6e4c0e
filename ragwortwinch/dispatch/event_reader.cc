#include "ragwortwinch/dispatch/event_reader.h"

#include <charconv>

namespace ragwortwinch {

namespace {

std::string_view fieldValue(std::string_view line, std::size_t nameLength)
{
    line.remove_prefix(nameLength);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

StreamEvent parseEvent(std::string_view text)
{
    StreamEvent event;
    while (!text.empty()) {
        std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.starts_with("data:"))
            event.data = fieldValue(line, 5);
        else if (line.starts_with("id:")) {
            std::string_view digits = fieldValue(line, 3);
            if (std::from_chars(digits.data(), digits.data() + digits.size(), event.id).ec != std::errc())
                event.id = -1;
        }
    }
    return event;
}

} // namespace

void EventReader::append(std::string_view bytes)
{
    if (position_ > 0) {
        buffer_.erase(0, position_);
        position_ = 0;
    }
    buffer_.append(bytes);
}

std::optional<StreamEvent> EventReader::next()
{
    while (true) {
        std::size_t end = buffer_.find("\n\n", position_);
        if (end == std::string::npos)
            return std::nullopt;
        StreamEvent event = parseEvent(std::string_view(buffer_).substr(position_, end - position_));
        position_ = end + 2;
        // Null if the event has no data field; an empty field is not null.
        if (event.data.data())
            return event;
    }
}

} // namespace ragwortwinch
