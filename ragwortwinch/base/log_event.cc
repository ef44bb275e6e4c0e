#include "ragwortwinch/base/log_event.h"

#include <glog/logging.h>

namespace ragwortwinch {

namespace {

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
    if (static_cast<int>(severity_) < FLAGS_minloglevel)
        return;
    switch (severity_) {
    case Severity::Info:
        LOG(INFO) << line_;
        break;
    case Severity::Warning:
        LOG(WARNING) << line_;
        break;
    case Severity::Error:
        LOG(ERROR) << line_;
        break;
    }
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

void startLogging(const char* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

} // namespace ragwortwinch
