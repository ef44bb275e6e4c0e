// Queues requests until an endpoint has capacity: one fair queue for each service, in front of the router.
//
//     scheduler.submit({ query, "riders", 2, 64, deadline }, onPlaced, onRefused);
//     scheduler.dispatchQueued();      // after a report, and at every tick
//
// Refuses a request when its team's queue is full or its deadline has passed. Thread-safe; callbacks run
// without locks, on the thread whose call dispatched or refused the request.
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
    // The team's limit of running requests over all nodes; 0 means no limit.
    std::int64_t maxConcurrent = 0;
    Instant deadline;
};

// Identifies a request in its queue; empty if the queue was full.
struct QueueEntryId {
    std::string service;
    std::string team;
    std::uint64_t id = 0;
};

// Holds the endpoint capacity of one running request and counts it as running for its team, until destroyed.
// Movable.
class Placement {
public:
    Placement() = default;
    Placement(class Scheduler& scheduler, std::string team, Reservation reservation);
    ~Placement();
    Placement(Placement&&) noexcept;
    Placement& operator=(Placement&&) noexcept;

    const EndpointPointer& endpoint() const { return reservation_.endpoint(); }
    // Moves to another endpoint for the next attempt.
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

    // All references must outlive the scheduler.
    Scheduler(const Clock& clock, EndpointTable& endpoints, Router& router);

    void setLimits(const Limits& limits);
    // Sets the number of nodes that share each team's limit.
    void setNodeCount(std::size_t count) { nodeCount_.store(static_cast<std::int64_t>(count)); }

    // A callback may run before `submit` returns.
    QueueEntryId submit(ScheduledRequest request, OnPlaced onPlaced, OnRefused onRefused);
    // Removes a request from its queue. Returns false if it is not queued; after true, no callback runs.
    bool withdraw(const QueueEntryId& queueEntry);
    // Reserves capacity for a further attempt of a running request, without queueing.
    Reservation reserve(const RouteQuery& query);
    // Dispatches queued requests for which there is capacity, and refuses those past their deadline.
    void dispatchQueued();

    std::size_t queued() const;
    std::int64_t runningOf(const std::string& team) const;
    // Returns the number of running requests of each team that has any.
    std::map<std::string, std::int64_t> runningByTeam() const;

private:
    friend class Placement;

    struct WaitingRequest {
        ScheduledRequest request;
        OnPlaced onPlaced;
        OnRefused onRefused;
    };
    struct ServiceQueue {
        FairQueue fairQueue;
        std::map<std::uint64_t, WaitingRequest> waiting;
        // The limit of each team as of its latest request; 0 means no limit.
        std::map<std::string, std::int64_t> maxConcurrent;
    };
    // Callbacks to invoke after releasing the lock.
    using Callbacks = std::vector<std::function<void()>>;

    void onRequestEnded(const std::string& team);
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
