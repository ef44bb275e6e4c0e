// One log line of key=value pairs, written to standard output when the object is destroyed. Writing never
// blocks; see log_writer.h.
//
//     LogEvent("lease.acquired").with("duty", duty).with("epoch", epoch);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortwinch {

enum class Severity { Info, Warning, Error };

// Builds and writes one log line. Values with spaces, quotes or control characters are quoted and escaped, so
// that data sent by a caller can't forge a line. Not thread-safe; use one object per event.
class LogEvent {
public:
    explicit LogEvent(std::string_view event, Severity = Severity::Info);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    LogEvent& with(std::string_view key, std::string_view value);
    LogEvent& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
    LogEvent& with(std::string_view key, const std::string& value)
    {
        return with(key, std::string_view(value));
    }
    LogEvent& with(std::string_view key, bool value) { return with(key, value ? "true" : "false"); }
    template <typename Number> LogEvent& with(std::string_view key, Number value)
    {
        return with(key, std::to_string(value));
    }

    // Returns the line built so far, without time and severity. For tests.
    const std::string& line() const { return line_; }

private:
    std::string line_;
    Severity severity_;
};

// Starts writing events of severity `minimum` and above to standard output. Until then events are discarded.
void startLogging(Severity minimum = Severity::Info);

// Waits up to 100 ms until queued lines are written; for the end of a process.
void flushLogs();

// Returns the number of lines dropped because the reader was too slow.
std::uint64_t droppedLogLines();

} // namespace ragwortwinch
