// The record of a case: one line for each event, with milliseconds since its start.
#pragma once

#include "review/stand_in/sockets.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
    explicit Record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (file_)
            std::fclose(file_);
    }

    __attribute__((format(printf, 2, 3))) void add(const char* format, ...)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%8.3f ", static_cast<double>(millisSince(start_)) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }
    std::int64_t millis() const { return millisSince(start_); }

private:
    std::mutex mutex_;
    SteadyClock::time_point start_ = SteadyClock::now();
    std::FILE* file_;
};

} // namespace review
