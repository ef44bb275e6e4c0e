#include "ragwortwinch/base/log_event.h"

#include "ragwortwinch/base/log_writer.h"
#include "ragwortwinch/base/name_table.h"

#include <atomic>
#include <ctime>
#include <unistd.h>

namespace ragwortwinch {

namespace {

constexpr int flushMillis = 100;

constexpr NameTable<Severity, 3> severityNames{{{
    {Severity::Info, "info"},
    {Severity::Warning, "warning"},
    {Severity::Error, "error"},
}}};

// Never destroyed, since threads may log until the process ends.
std::atomic<LogWriter*> logWriter{nullptr};
std::atomic<Severity> minSeverity{Severity::Info};

std::string timeText()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::string millis = std::to_string(now.tv_nsec / 1000000);
    return "t=" + std::to_string(now.tv_sec) + '.' + std::string(3 - millis.size(), '0') + millis;
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (unsigned char character : value) {
        if (character <= ' ' || character == '"' || character == '=' || character == '\\'
            || character == 0x7f)
            return true;
    }
    return false;
}

void appendQuoted(std::string& line, std::string_view value)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    line += '"';
    for (unsigned char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += static_cast<char>(character);
        } else if (character < ' ' || character == 0x7f) {
            line += "\\x";
            line += hexDigits[character >> 4];
            line += hexDigits[character & 15];
        } else
            line += static_cast<char>(character);
    }
    line += '"';
}

} // namespace

LogEvent::LogEvent(std::string_view event, Severity severity)
    : line_("event=" + std::string(event))
    , severity_(severity)
{
}

LogEvent::~LogEvent()
{
    LogWriter* writer = logWriter.load(std::memory_order_acquire);
    if (!writer || severity_ < minSeverity.load(std::memory_order_relaxed))
        return;
    writer->write(timeText() + " level=" + std::string(severityNames.name(severity_)) + ' ' + line_);
}

LogEvent& LogEvent::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_ += key;
    line_ += '=';
    if (needsQuotes(value))
        appendQuoted(line_, value);
    else
        line_ += value;
    return *this;
}

void startLogging(Severity minimum)
{
    minSeverity.store(minimum);
    if (!logWriter.load())
        logWriter.store(new LogWriter(STDOUT_FILENO));
}

void flushLogs()
{
    if (LogWriter* writer = logWriter.load())
        writer->flush(flushMillis);
}

std::uint64_t droppedLogLines()
{
    LogWriter* writer = logWriter.load();
    return writer ? writer->droppedLines() : 0;
}

} // namespace ragwortwinch
