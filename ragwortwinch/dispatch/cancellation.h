// Removes a request from its queue, or cancels its call to an endpoint, once its caller has disconnected.
//
//     Cancellation cancellation(scheduler);
//     responder->onClosed([&] { if (cancellation.cancel()) end(); });
//     if (cancellation.trackQueueEntry(scheduler.submit(...))) end();
//     cancellation.startTrackedCall([&] { return client.start(call, onDone); });
//
// `cancel` and `trackQueueEntry` return true if they removed the request from the queue: the scheduler then
// invokes no callback, and whoever got `true` has to end the request. A running call ends with
// `CallEnd::Cancelled`. Thread-safe.
#pragma once

#include "ragwortwinch/dispatch/scheduler.h"
#include "ragwortwinch/net/http_client.h"

#include <functional>
#include <memory>
#include <mutex>

namespace ragwortwinch {

class Cancellation {
public:
    using StartCall = std::function<std::shared_ptr<HttpCallHandle>()>;

    // `scheduler` must outlive this object.
    explicit Cancellation(Scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    bool cancel();
    bool isCancelled() const;
    // Stores the request's queue entry, or withdraws it if `cancel` was called before.
    bool trackQueueEntry(QueueEntryId queueEntry);
    // Starts a call and stores its handle; cancels it if `cancel` was called before.
    void startTrackedCall(const StartCall& start);
    // Drops the handle of an ended call. Call it first in the call's completion callback.
    void finishCall();
    // Resumes a paused call.
    void resumeCall();

private:
    Scheduler& scheduler_;
    mutable std::mutex mutex_;
    bool isCancelled_ = false;
    QueueEntryId queueEntry_;
    std::shared_ptr<HttpCallHandle> handle_;
};

} // namespace ragwortwinch
