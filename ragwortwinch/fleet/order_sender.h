// Sends what only a holder of authority may send, one at a time, from one thread under the fuse.
//
//     OrderSender sender(Millis(1500));
//     sender.post({ url, body, headers, keeper.authorityEnd() }, [](SendOutcome outcome) { ... });
//
// Nothing is sent when less authority is left than one send may take. Thread-safe; the callback runs on the
// sending thread.
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
    Instant authorityEnd;
};

class OrderSender {
public:
    // `sendBound` is the longest that one send may take.
    explicit OrderSender(Millis sendBound);
    ~OrderSender();

    void post(LeaseBoundRequest send, std::function<void(SendOutcome)> onDone);
    // True when nothing is queued or under way.
    bool isIdle() const;
    // For tests: called between the check of authority and the send.
    void setPausePoint(std::function<void()> pausePoint) { pausePoint_ = std::move(pausePoint); }

private:
    struct Task {
        LeaseBoundRequest send;
        std::function<void(SendOutcome)> onDone;
    };

    void run();
    SendOutcome perform(class LeaseExpiryGuard& fuse, const LeaseBoundRequest& send);

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
