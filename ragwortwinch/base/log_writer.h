// Writes log lines to a file descriptor from a dedicated thread, so that callers never wait for a write.
//
//     LogWriter writer(STDOUT_FILENO);
//     writer.write("event=started ...");     // any thread; drops the line when the queue is full
//
// Dropped lines are counted and reported in one line before the next line that is queued.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace ragwortwinch {

// Thread-safe. The destructor writes the lines still queued, unless the reader is too slow to take them.
class LogWriter {
public:
    // Holds a few seconds of a busy node's log lines while the reader is slow.
    static constexpr std::size_t defaultCapacityBytes = 1024 * 1024;

    explicit LogWriter(int descriptor, std::size_t capacityBytes = defaultCapacityBytes);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // Queues `line` and adds a newline. Returns false when the line was dropped because the queue is full.
    bool write(const std::string& line);
    // Returns the number of lines dropped so far.
    std::uint64_t droppedLines() const;
    // Blocks until all queued lines are written, for at most `millis` milliseconds.
    void flush(int millis);

private:
    bool isDrained() const;
    void run();

    int descriptor_;
    std::size_t capacityBytes_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::string queue_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0;
    bool isWriting_ = false;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace ragwortwinch
