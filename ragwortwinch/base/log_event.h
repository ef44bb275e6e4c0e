// One line of key=value pairs for one event, written to standard output when the object dies. Writing never
// blocks: see log_writer.h.
//
//     LogEvent("lease.acquired").with("duty", duty).with("epoch", epoch);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortwinch {

enum class Severity { Info, Warning, Error };

// Builds and writes one log line. Values with spaces, quotes or control characters are quoted, so that
// what a caller sends cannot forge a line. Not thread-safe; each event is its own object.
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

    // Returns the line so far, for tests.
    const std::string& line() const { return line_; }

private:
    std::string line_;
    Severity severity_;
};

// Starts to write events of `least` and above to standard output. Without it events go nowhere.
void startLogging(Severity least = Severity::Info);

// Waits a moment until queued lines are written; for the end of a process.
void flushLogs();

// Lines that were dropped because the reader was too slow.
std::uint64_t droppedLogLines();

} // namespace ragwortwinch
