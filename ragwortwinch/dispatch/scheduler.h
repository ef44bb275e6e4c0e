// Lets requests wait for room at an endpoint: one fair queue for each service, in front of the router.
//
//     scheduler.submit({ query, "riders", 2, 64, deadline }, onPlaced, onRefused);
//     scheduler.pump();      // after a report, and at every tick
//
// A request that its team's limit, the queue's bound or its deadline rules out is refused at once, as not
// run. Thread-safe; callbacks run without locks on the thread that made room.
#pragma once

#include "ragwortwinch/admission/fair_queue.h"
#include "ragwortwinch/base/error.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/routing/endpoint_table.h"
#include "ragwortwinch/routing/router.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ragwortwinch {

struct ScheduledRequest {
    RouteQuery query;
    std::string team;
    std::int64_t weight = 1;
    // Running requests that the team may have, over all nodes.
    std::int64_t maxConcurrent = 0;
    Instant deadline;
};

// Where a request waits; names nothing if the scheduler refused it.
struct QueueEntryId {
    std::string service;
    std::string team;
    std::uint64_t id = 0;
};

// The place of one running request; gives it back when destroyed. Movable.
class Placement {
public:
    Placement() = default;
    Placement(class Scheduler& scheduler, std::string team, Reservation reservation);
    ~Placement();
    Placement(Placement&&) noexcept;
    Placement& operator=(Placement&&) noexcept;

    const EndpointPointer& endpoint() const { return reservation_.endpoint(); }
    // Moves to another endpoint for a next attempt.
    void moveTo(Reservation reservation) { reservation_ = std::move(reservation); }
    void release();

private:
    class Scheduler* scheduler_ = nullptr;
    std::string team_;
    Reservation reservation_;
};

class Scheduler {
public:
    using OnPlaced = std::function<void(Placement)>;
    using OnRefused = std::function<void(const Error&)>;

    // All references outlive the scheduler.
    Scheduler(const Clock& clock, EndpointTable& endpoints, Router& router);

    void setLimits(const Limits& limits);
    // How many nodes share each team's limit.
    void setNodeCount(std::size_t count) { nodeCount_.store(static_cast<std::int64_t>(count)); }

    // The callbacks may come before it returns.
    QueueEntryId submit(ScheduledRequest request, OnPlaced onPlaced, OnRefused onRefused);
    // Takes a request from its queue; returns false if it no longer waits. After true no callback comes.
    bool withdraw(const QueueEntryId& queueEntry);
    // Finds room for a further attempt of a request that runs already; it does not queue.
    Reservation reserve(const RouteQuery& query);
    void dispatchQueued();

    std::size_t queued() const;
    std::int64_t runningOf(const std::string& team) const;
    std::map<std::string, std::int64_t> runningTeams() const;

private:
    friend class Placement;

    struct WaitingRequest {
        ScheduledRequest request;
        OnPlaced onPlaced;
        OnRefused onRefused;
    };
    struct ServiceQueue {
        FairQueue order;
        std::map<std::uint64_t, WaitingRequest> waiting;
        // The latest limit given for each team; 0 means none.
        std::map<std::string, std::int64_t> maxConcurrent;
    };
    // What to call once the lock is gone.
    using Callbacks = std::vector<std::function<void()>>;

    void finish(const std::string& team);
    std::int64_t perNodeLimit(std::int64_t maxConcurrent) const;
    void dispatchFrom(ServiceQueue& queue, Instant now, Callbacks& callbacks);
    bool mayStart(const ServiceQueue& queue, const std::string& team) const;
    Reservation reserveLocked(const RouteQuery& query, Instant now);

    const Clock& clock_;
    EndpointTable& endpoints_;
    Router& router_;
    std::atomic<std::int64_t> nodeCount_{1};
    mutable std::mutex mutex_;
    Limits limits_;
    std::uint64_t nextId_ = 1;
    std::map<std::string, ServiceQueue> queues_;
    std::map<std::string, std::int64_t> running_;
    std::size_t queued_ = 0;
};

} // namespace ragwortwinch
