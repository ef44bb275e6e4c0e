// Sends requests that only a lease holder may send: one at a time, from one thread whose sockets are closed
// when the lease expires.
//
//     OrderSender sender(Millis(1500));
//     sender.post({ url, body, headers, keeper.authorityEnd() }, [](SendOutcome outcome) { ... });
//
// A request is not sent, and its outcome is Unknown, if the lease may expire before the send ends.
// Thread-safe; callbacks run on the sending thread.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/fleet/endpoint_order.h"
#include "ragwortwinch/net/http_message.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace ragwortwinch {

struct LeaseBoundRequest {
    std::string url;
    std::string body;
    HttpHeaders headers;
    // When the sender must regard its lease as expired.
    Instant authorityEnd;
};

class OrderSender {
public:
    // `sendBound` is the timeout of one send.
    explicit OrderSender(Millis sendBound);
    // Drops queued requests without calling their callbacks.
    ~OrderSender();

    void post(LeaseBoundRequest send, std::function<void(SendOutcome)> onDone);
    // True if nothing is queued or in flight.
    bool isIdle() const;
    // For tests, before the first `post`: `pausePoint` is called between the check of the lease and the send.
    void setPausePoint(std::function<void()> pausePoint) { pausePoint_ = std::move(pausePoint); }

private:
    struct Task {
        LeaseBoundRequest send;
        std::function<void(SendOutcome)> onDone;
    };

    void run();
    SendOutcome perform(class LeaseExpiryGuard& guard, const LeaseBoundRequest& send);

    Millis sendBound_;
    std::function<void()> pausePoint_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<Task> tasks_;
    bool isBusy_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace ragwortwinch
