// Queues of requests that wait for an endpoint: fair over teams by estimated token cost, or in order of
// arrival.
//
//     FairQueue queue;
//     queue.push({ id, "riders", 2, cost, deadline });
//     if (const QueuedRequest* next = queue.front(mayStart)) { ...; queue.popFront(); }
//     for (QueuedRequest& late : queue.takeExpired(now)) refuse(late);
//
// Not thread-safe; reads no clock.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace ragwortwinch {

struct QueuedRequest {
    std::uint64_t id = 0;
    std::string team;
    // The team's weight.
    std::int64_t weight = 1;
    // Estimated tokens.
    std::int64_t cost = 1;
    Instant deadline;
};

// A queue whose scheduling policy decides which request is next.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;
    virtual void push(QueuedRequest request) = 0;
    // Returns the next request of a team for which `mayStart` is true, or null. It stays in the queue.
    virtual const QueuedRequest* front(const std::function<bool(const std::string& team)>& mayStart) = 0;
    // Removes the request that `front` returned; call it right after `front`.
    virtual void popFront() = 0;
    // Removes and returns the requests whose deadline is `now` or earlier.
    virtual std::vector<QueuedRequest> takeExpired(Instant now) = 0;
    // Removes one request of a team; returns false if it isn't queued.
    virtual bool remove(const std::string& team, std::uint64_t id) = 0;
    virtual std::size_t size() const = 0;
    virtual std::size_t sizeOf(const std::string& team) const = 0;
    virtual std::int64_t queuedCost() const = 0;
};

// Deficit round robin over teams, weighted by `QueuedRequest::weight`.
class FairQueue final : public RequestQueue {
public:
    // `quantum` is the credit, in tokens, that each round adds to a team of weight 1.
    explicit FairQueue(std::int64_t quantum = 512)
        : quantum_(quantum)
    {
    }

    void push(QueuedRequest request) override;
    const QueuedRequest* front(const std::function<bool(const std::string& team)>& mayStart) override;
    void popFront() override;
    std::vector<QueuedRequest> takeExpired(Instant now) override;
    bool remove(const std::string& team, std::uint64_t id) override;
    std::size_t size() const override { return size_; }
    std::size_t sizeOf(const std::string& team) const override;
    std::int64_t queuedCost() const override { return queuedCost_; }

private:
    struct Team {
        std::string name;
        std::deque<QueuedRequest> requests;
        // Unused credit in tokens: the deficit counter of deficit round robin.
        std::int64_t deficit = 0;
        // Whether this round's credit has been added.
        bool isCredited = false;
    };
    using Ring = std::list<Team>;

    void rotate();

    std::int64_t quantum_;
    Ring ring_;
    std::map<std::string, Ring::iterator> byName_;
    std::size_t size_ = 0;
    std::int64_t queuedCost_ = 0;
};

// First come, first served: the baseline for benchmarks.
class FifoQueue final : public RequestQueue {
public:
    void push(QueuedRequest request) override;
    const QueuedRequest* front(const std::function<bool(const std::string& team)>& mayStart) override;
    void popFront() override;
    std::vector<QueuedRequest> takeExpired(Instant now) override;
    bool remove(const std::string& team, std::uint64_t id) override;
    std::size_t size() const override { return requests_.size(); }
    std::size_t sizeOf(const std::string& team) const override;
    std::int64_t queuedCost() const override { return queuedCost_; }

private:
    std::deque<QueuedRequest> requests_;
    std::size_t frontIndex_ = 0;
    std::int64_t queuedCost_ = 0;
};

} // namespace ragwortwinch
