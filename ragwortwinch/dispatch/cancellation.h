// Ends a request's wait or its call to an endpoint once its caller has gone.
//
//     Cancellation cancellation(scheduler);
//     responder->onClosed([&] { if (cancellation.cancel()) end(); });
//     if (cancellation.trackQueueEntry(scheduler.submit(...))) end();
//     cancellation.runCall([&] { return client.start(call, onDone); });
//
// Where a function returns true, the request has just been taken from the queue: no callback of the scheduler
// will come, and the one that got `true` ends the request. A call that runs ends with `CallEnd::Cancelled`.
// Thread-safe.
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

    // The scheduler outlives this object.
    explicit Cancellation(Scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    bool cancel();
    bool isCancelled() const;
    // Remembers where the request waits; withdraws it if `cancel` came first.
    bool trackQueueEntry(QueueEntryId queueEntry);
    // Starts a call and remembers it; cancels it if `cancel` came first.
    void runCall(const StartCall& start);
    // To be called first in the call's callback.
    void finishCall();
    // Resumes a call that has paused.
    void resumeCall();

private:
    Scheduler& scheduler_;
    mutable std::mutex mutex_;
    bool isCancelled_ = false;
    QueueEntryId queueEntry_;
    std::shared_ptr<HttpCallHandle> handle_;
};

} // namespace ragwortwinch
