#include "ragwortwinch/dispatch/cancellation.h"

#include <utility>

namespace ragwortwinch {

bool Cancellation::cancel()
{
    QueueEntryId queueEntry;
    std::shared_ptr<HttpCallHandle> handle;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isCancelled_ = true;
        queueEntry = queueEntry_;
        handle = handle_;
    }
    if (handle)
        handle->cancel();
    return scheduler_.withdraw(queueEntry);
}

bool Cancellation::isCancelled() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return isCancelled_;
}

bool Cancellation::trackQueueEntry(QueueEntryId queueEntry)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        queueEntry_ = queueEntry;
        if (!isCancelled_)
            return false;
    }
    return scheduler_.withdraw(queueEntry);
}

void Cancellation::startTrackedCall(const StartCall& start)
{
    // The callback may run on the client's thread before `start` returns; `finishCall` then blocks until the
    // handle is stored.
    std::lock_guard<std::mutex> lock(mutex_);
    handle_ = start();
    if (isCancelled_)
        handle_->cancel();
}

void Cancellation::finishCall()
{
    std::lock_guard<std::mutex> lock(mutex_);
    handle_.reset();
}

void Cancellation::resumeCall()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (handle_)
        handle_->resume();
}

} // namespace ragwortwinch
