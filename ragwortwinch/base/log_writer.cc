#include "ragwortwinch/base/log_writer.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <csignal>
#include <poll.h>
#include <unistd.h>

namespace ragwortwinch {

namespace {

// Lines are batched for this long, so that a busy node makes few writes.
constexpr std::chrono::milliseconds batchDelay(20);
// Interval at which `flush` checks whether everything is written.
constexpr std::chrono::milliseconds flushPollInterval(2);
// Interval at which the thread, while the reader is slow, checks whether the writer is being destroyed; also
// how long the destructor flushes at most.
constexpr int pollTimeoutMillis = 50;
// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t chunkBytes = PIPE_BUF;

// Writes all of `text`. Gives up when the write fails, or when `isStopping` is set and the reader takes
// nothing.
void writeAll(int descriptor, const std::string& text, const std::atomic<bool>& isStopping)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        pollfd ready{descriptor, POLLOUT, 0};
        if (poll(&ready, 1, pollTimeoutMillis) <= 0) {
            if (isStopping.load())
                return;
            continue;
        }
        ssize_t written
            = ::write(descriptor, text.data() + offset, std::min(chunkBytes, text.size() - offset));
        if (written > 0)
            offset += static_cast<std::size_t>(written);
        else if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
    }
}

} // namespace

LogWriter::LogWriter(int descriptor, std::size_t capacityBytes)
    : descriptor_(descriptor)
    , capacityBytes_(capacityBytes)
    , thread_([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    flush(pollTimeoutMillis);
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isStopping_.store(true);
    }
    wake_.notify_one();
    thread_.join();
}

bool LogWriter::write(const std::string& line)
{
    bool wasEmpty = false;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (queue_.size() + line.size() + 1 > capacityBytes_) {
            ++dropped_;
            return false;
        }
        wasEmpty = queue_.empty();
        if (dropped_ != reportedDropped_) {
            queue_ += "event=log.dropped lines=" + std::to_string(dropped_ - reportedDropped_) + "\n";
            reportedDropped_ = dropped_;
        }
        queue_ += line;
        queue_ += '\n';
    }
    if (wasEmpty)
        wake_.notify_one();
    return true;
}

std::uint64_t LogWriter::droppedLines() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
}

bool LogWriter::isDrained() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return queue_.empty() && !isWriting_;
}

void LogWriter::flush(int millis)
{
    std::chrono::steady_clock::time_point end
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
    // Polls, since gcc 12's thread sanitizer doesn't support timed waits on a condition variable.
    while (!isDrained() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(flushPollInterval);
}

void LogWriter::run()
{
    // Signals are left to the threads that wait for them.
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return isStopping_.load() || !queue_.empty(); });
        if (queue_.empty())
            return;
        if (!isStopping_.load()) {
            lock.unlock();
            std::this_thread::sleep_for(batchDelay);
            lock.lock();
        }
        std::string batch;
        batch.swap(queue_);
        isWriting_ = true;
        lock.unlock();
        writeAll(descriptor_, batch, isStopping_);
        lock.lock();
        isWriting_ = false;
    }
}

} // namespace ragwortwinch
