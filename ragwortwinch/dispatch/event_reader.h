// Cuts a stream of server-sent events into events.
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
    // The token's offset in the answer, or -1 without one.
    std::int64_t id = -1;
    // Valid until the next call of `append`.
    std::string_view data;
};

// Not thread-safe.
class EventReader {
public:
    void append(std::string_view bytes);
    // Returns the next whole event with data; comments are skipped.
    std::optional<StreamEvent> next();
    // True when a line is longer than any event may be.
    bool isEventTooLong() const { return buffer_.size() - position_ > maxEventBytes; }

private:
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    std::string buffer_;
    std::size_t position_ = 0;
};

} // namespace ragwortwinch
