#include "ragwortwinch/dispatch/cancellation.h"

#include <utility>

namespace ragwortwinch {

bool Cancellation::cancel()
{
    QueueTicket ticket;
    std::shared_ptr<HttpCallHandle> handle;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isCancelled_ = true;
        ticket = ticket_;
        handle = handle_;
    }
    if (handle)
        handle->cancel();
    return scheduler_.withdraw(ticket);
}

bool Cancellation::isCancelled() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return isCancelled_;
}

bool Cancellation::watchTicket(QueueTicket ticket)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        ticket_ = ticket;
        if (!isCancelled_)
            return false;
    }
    return scheduler_.withdraw(ticket);
}

void Cancellation::runCall(const StartCall& start)
{
    // The callback may come before `start` returns; `finishCall` then waits for the handle to be stored.
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
