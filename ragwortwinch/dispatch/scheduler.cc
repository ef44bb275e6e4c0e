#include "ragwortwinch/dispatch/scheduler.h"

#include "ragwortwinch/base/invariant.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ragwortwinch {

Placement::Placement(Scheduler& scheduler, std::string team, Reservation reservation)
    : scheduler_(&scheduler)
    , team_(std::move(team))
    , reservation_(std::move(reservation))
{
}

Placement::~Placement() { release(); }

Placement::Placement(Placement&& other) noexcept
    : scheduler_(std::exchange(other.scheduler_, nullptr))
    , team_(std::move(other.team_))
    , reservation_(std::move(other.reservation_))
{
}

Placement& Placement::operator=(Placement&& other) noexcept
{
    if (this != &other) {
        release();
        scheduler_ = std::exchange(other.scheduler_, nullptr);
        team_ = std::move(other.team_);
        reservation_ = std::move(other.reservation_);
    }
    return *this;
}

void Placement::release()
{
    reservation_.release();
    if (Scheduler* scheduler = std::exchange(scheduler_, nullptr))
        scheduler->onRequestEnded(team_);
}

Scheduler::Scheduler(const Clock& clock, EndpointTable& endpoints, Router& router)
    : clock_(clock)
    , endpoints_(endpoints)
    , router_(router)
{
}

void Scheduler::setLimits(const Limits& limits)
{
    std::lock_guard<std::mutex> lock(mutex_);
    limits_ = limits;
}

std::int64_t Scheduler::perNodeLimit(std::int64_t maxConcurrent) const
{
    std::int64_t nodes = std::max<std::int64_t>(1, nodeCount_.load());
    return std::max<std::int64_t>(1, (maxConcurrent + nodes - 1) / nodes);
}

Reservation Scheduler::reserveLocked(const RouteQuery& query, Instant now)
{
    EndpointPointer endpoint = router_.choose(query, endpoints_.ofService(query.service), limits_, now);
    if (!endpoint)
        return {};
    router_.onDispatched(query, *endpoint);
    return Reservation(endpoint, endpoint->isEngine() ? query.kvBlocks(limits_.tokensPerKvBlock) : 0);
}

Reservation Scheduler::reserve(const RouteQuery& query)
{
    std::lock_guard<std::mutex> lock(mutex_);
    return reserveLocked(query, clock_.now());
}

QueueEntryId Scheduler::submit(ScheduledRequest request, OnPlaced onPlaced, OnRefused onRefused)
{
    Callbacks callbacks;
    QueueEntryId queueEntry;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        ServiceQueue& queue = queues_[request.query.service];
        bool isFull = static_cast<std::int64_t>(queue.fairQueue.sizeOf(request.team)) >= limits_.queuePerTeam;
        if (isFull) {
            callbacks.emplace_back([onRefused = std::move(onRefused), limit = limits_.queuePerTeam] {
                onRefused({ErrorKind::OverLimit,
                    fmt::format(
                        "{} requests of this team wait already; send fewer at once or try again later",
                        limit)});
            });
        } else {
            std::uint64_t id = nextId_++;
            queueEntry = {request.query.service, request.team, id};
            std::int64_t cost
                = std::max<std::int64_t>(1, request.query.promptTokens + request.query.outputTokens);
            queue.fairQueue.push({id, request.team, request.weight, cost, request.deadline});
            queue.maxConcurrent[request.team] = request.maxConcurrent;
            queue.waiting.emplace(
                id, WaitingRequest{std::move(request), std::move(onPlaced), std::move(onRefused)});
            ++queued_;
            dispatchFrom(queue, clock_.now(), callbacks);
        }
    }
    for (const std::function<void()>& callback : callbacks)
        callback();
    return queueEntry;
}

bool Scheduler::withdraw(const QueueEntryId& queueEntry)
{
    // Destroyed after the lock is released, since destroying the callbacks may call this scheduler.
    WaitingRequest withdrawn;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto queue = queues_.find(queueEntry.service);
        if (queue == queues_.end() || !queue->second.fairQueue.remove(queueEntry.team, queueEntry.id))
            return false;
        auto found = queue->second.waiting.find(queueEntry.id);
        checkInvariant(found != queue->second.waiting.end(), "scheduler.queued_request_waits");
        withdrawn = std::move(found->second);
        queue->second.waiting.erase(found);
        --queued_;
    }
    return true;
}

bool Scheduler::mayStart(const ServiceQueue& queue, const std::string& team) const
{
    auto limit = queue.maxConcurrent.find(team);
    if (limit == queue.maxConcurrent.end() || limit->second <= 0)
        return true;
    auto running = running_.find(team);
    return running == running_.end() || running->second < perNodeLimit(limit->second);
}

void Scheduler::dispatchFrom(ServiceQueue& queue, Instant now, Callbacks& callbacks)
{
    for (const QueuedRequest& expired : queue.fairQueue.takeExpired(now)) {
        auto found = queue.waiting.find(expired.id);
        callbacks.emplace_back([onRefused = std::move(found->second.onRefused)] {
            onRefused({ErrorKind::NoCapacity,
                "no endpoint had room before the request's deadline; try again later"});
        });
        queue.waiting.erase(found);
        --queued_;
    }
    auto mayStartTeam = [&](const std::string& team) { return mayStart(queue, team); };
    while (const QueuedRequest* next = queue.fairQueue.front(mayStartTeam)) {
        auto found = queue.waiting.find(next->id);
        checkInvariant(found != queue.waiting.end(), "scheduler.queued_request_waits");
        Reservation reservation = reserveLocked(found->second.request.query, now);
        if (!reservation)
            return;
        queue.fairQueue.popFront();
        std::string team = found->second.request.team;
        ++running_[team];
        auto placement = std::make_shared<Placement>(*this, team, std::move(reservation));
        callbacks.emplace_back(
            [onPlaced = std::move(found->second.onPlaced), placement] { onPlaced(std::move(*placement)); });
        queue.waiting.erase(found);
        --queued_;
    }
}

void Scheduler::dispatchQueued()
{
    Callbacks callbacks;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (queued_ > 0) {
            for (auto& entry : queues_)
                dispatchFrom(entry.second, clock_.now(), callbacks);
        }
    }
    for (const std::function<void()>& callback : callbacks)
        callback();
}

void Scheduler::onRequestEnded(const std::string& team)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = running_.find(team);
        checkInvariant(found != running_.end() && found->second > 0, "scheduler.running_balances");
        if (found != running_.end() && --found->second <= 0)
            running_.erase(found);
    }
    dispatchQueued();
}

std::size_t Scheduler::queued() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return queued_;
}

std::int64_t Scheduler::runningOf(const std::string& team) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = running_.find(team);
    return found == running_.end() ? 0 : found->second;
}

std::map<std::string, std::int64_t> Scheduler::runningByTeam() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return running_;
}

} // namespace ragwortwinch
