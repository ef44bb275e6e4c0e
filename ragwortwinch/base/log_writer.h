// Writes log lines to a descriptor from one thread of its own, so that no caller ever waits for a write.
//
//     LogWriter writer(STDOUT_FILENO);
//     writer.write("event=started ...");     // any thread; drops the line when the queue is full
//
// Dropped lines are counted and reported by one line once there is room again.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace ragwortwinch {

// Thread-safe. Lines still queued when it is destroyed are written if the reader takes them at once.
class LogWriter {
public:
    // Bytes kept for a reader that is slow; a few seconds of logs of a busy node.
    static constexpr std::size_t defaultCapacityBytes = 1024 * 1024;

    explicit LogWriter(int descriptor, std::size_t capacityBytes = defaultCapacityBytes);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // Queues one line, to which it adds the newline. Returns false when the line was dropped.
    bool write(const std::string& line);
    // Lines dropped since the start.
    std::uint64_t droppedLines() const;
    // Waits up to `millis` until all queued lines are written.
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
