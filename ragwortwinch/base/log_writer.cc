#include "ragwortwinch/base/log_writer.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <poll.h>
#include <unistd.h>

namespace ragwortwinch {

namespace {

// Lines are gathered for this long, so that a busy node makes few writes.
constexpr std::chrono::milliseconds gatherTime(20);
// How often a writer that is being destroyed looks whether its reader takes bytes.
constexpr int pollMillis = 50;

// Writes all of `text`; gives up when stopping and the reader takes nothing.
void writeAll(int descriptor, const std::string& text)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        ssize_t written = ::write(descriptor, text.data() + offset, text.size() - offset);
        if (written > 0) {
            offset += static_cast<std::size_t>(written);
            continue;
        }
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0 && errno == EAGAIN) {
            pollfd ready{descriptor, POLLOUT, 0};
            poll(&ready, 1, pollMillis);
            continue;
        }
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
    flush(pollMillis);
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_one();
    // A reader that takes nothing would hold the thread forever.
    std::unique_lock<std::mutex> lock(mutex_);
    bool isStuck = isWriting_
        && !drained_.wait_for(lock, std::chrono::milliseconds(pollMillis), [this] { return !isWriting_; });
    lock.unlock();
    if (isStuck)
        pthread_cancel(thread_.native_handle());
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
        if (dropped_ != reportedDropped_) {
            queue_ += "event=log.dropped lines=" + std::to_string(dropped_ - reportedDropped_) + "\n";
            reportedDropped_ = dropped_;
        }
        wasEmpty = queue_.empty();
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

void LogWriter::flush(int millis)
{
    std::unique_lock<std::mutex> lock(mutex_);
    drained_.wait_for(
        lock, std::chrono::milliseconds(millis), [this] { return queue_.empty() && !isWriting_; });
}

void LogWriter::run()
{
    // Signals belong to the threads that wait for them.
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        if (!isStopping_)
            wake_.wait_for(lock, gatherTime, [this] { return isStopping_; });
        std::string batch;
        batch.swap(queue_);
        isWriting_ = true;
        lock.unlock();
        writeAll(descriptor_, batch);
        lock.lock();
        isWriting_ = false;
        drained_.notify_all();
    }
}

} // namespace ragwortwinch
