// Parses a stream of server-sent events.
//
//     EventReader reader;
//     reader.append(bytes);
//     while (std::optional<StreamEvent> event = reader.next()) ...
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct StreamEvent {
    // The token's offset in the answer, or -1 if the event has none.
    std::int64_t id = -1;
    // Valid until the next call to `append`.
    std::string_view data;
};

// Not thread-safe.
class EventReader {
public:
    void append(std::string_view bytes);
    // Returns the next complete event that has data, or nullopt. Skips comments.
    std::optional<StreamEvent> next();
    // Returns true if the unread bytes exceed the maximum size of an event.
    bool isEventTooLong() const { return buffer_.size() - position_ > maxEventBytes; }

private:
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    std::string buffer_;
    std::size_t position_ = 0;
};

} // namespace ragwortwinch
