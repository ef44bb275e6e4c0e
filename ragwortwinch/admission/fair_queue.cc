#include "ragwortwinch/admission/fair_queue.h"

#include "ragwortwinch/base/invariant.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

std::vector<QueuedRequest> removeExpired(
    std::deque<QueuedRequest>& requests, Instant now, std::int64_t& queuedCost)
{
    std::vector<QueuedRequest> expired;
    std::erase_if(requests, [&](const QueuedRequest& request) {
        if (request.deadline > now)
            return false;
        queuedCost -= request.cost;
        expired.push_back(request);
        return true;
    });
    return expired;
}

bool removeById(std::deque<QueuedRequest>& requests, std::uint64_t id, std::int64_t& queuedCost)
{
    auto found = std::find_if(
        requests.begin(), requests.end(), [&](const QueuedRequest& request) { return request.id == id; });
    if (found == requests.end())
        return false;
    queuedCost -= found->cost;
    requests.erase(found);
    return true;
}

} // namespace

void FairQueue::push(QueuedRequest request)
{
    auto found = byName_.find(request.team);
    if (found == byName_.end()) {
        ring_.push_back({request.team, {}, 0, false});
        found = byName_.emplace(request.team, std::prev(ring_.end())).first;
    }
    ++size_;
    queuedCost_ += request.cost;
    found->second->requests.push_back(std::move(request));
}

void FairQueue::rotate()
{
    Team& team = ring_.front();
    team.isCredited = false;
    ring_.splice(ring_.end(), ring_, ring_.begin());
}

const QueuedRequest* FairQueue::front(const std::function<bool(const std::string&)>& mayStart)
{
    std::size_t skipped = 0;
    while (!ring_.empty() && skipped < ring_.size()) {
        Team& team = ring_.front();
        if (team.requests.empty()) {
            // An idle team keeps no credit.
            byName_.erase(team.name);
            ring_.pop_front();
            continue;
        }
        if (!mayStart(team.name)) {
            ++skipped;
            rotate();
            continue;
        }
        const QueuedRequest& first = team.requests.front();
        if (!team.isCredited) {
            team.isCredited = true;
            team.deficit += quantum_ * first.weight;
        }
        if (team.deficit >= first.cost)
            return &first;
        rotate();
        // Every round adds credit, so the loop ends. Skipped teams are counted anew from here.
        skipped = 0;
    }
    return nullptr;
}

void FairQueue::popFront()
{
    checkInvariant(!ring_.empty() && !ring_.front().requests.empty(), "fair_queue.pop_follows_front");
    Team& team = ring_.front();
    QueuedRequest request = std::move(team.requests.front());
    team.requests.pop_front();
    team.deficit -= request.cost;
    checkInvariant(team.deficit >= 0, "fair_queue.deficit_covers_cost");
    queuedCost_ -= request.cost;
    --size_;
    if (team.requests.empty()) {
        byName_.erase(team.name);
        ring_.pop_front();
    }
}

std::vector<QueuedRequest> FairQueue::takeExpired(Instant now)
{
    std::vector<QueuedRequest> all;
    for (Team& team : ring_) {
        std::vector<QueuedRequest> expired = removeExpired(team.requests, now, queuedCost_);
        size_ -= expired.size();
        all.insert(all.end(), expired.begin(), expired.end());
    }
    return all;
}

bool FairQueue::remove(const std::string& team, std::uint64_t id)
{
    auto found = byName_.find(team);
    if (found == byName_.end() || !removeById(found->second->requests, id, queuedCost_))
        return false;
    --size_;
    return true;
}

std::size_t FairQueue::sizeOf(const std::string& team) const
{
    auto found = byName_.find(team);
    return found == byName_.end() ? 0 : found->second->requests.size();
}

void FifoQueue::push(QueuedRequest request)
{
    queuedCost_ += request.cost;
    requests_.push_back(std::move(request));
}

const QueuedRequest* FifoQueue::front(const std::function<bool(const std::string&)>& mayStart)
{
    for (frontIndex_ = 0; frontIndex_ < requests_.size(); ++frontIndex_) {
        if (mayStart(requests_[frontIndex_].team))
            return &requests_[frontIndex_];
    }
    return nullptr;
}

void FifoQueue::popFront()
{
    queuedCost_ -= requests_[frontIndex_].cost;
    requests_.erase(requests_.begin() + static_cast<std::ptrdiff_t>(frontIndex_));
}

std::vector<QueuedRequest> FifoQueue::takeExpired(Instant now)
{
    return removeExpired(requests_, now, queuedCost_);
}

bool FifoQueue::remove(const std::string&, std::uint64_t id)
{
    return removeById(requests_, id, queuedCost_);
}

std::size_t FifoQueue::sizeOf(const std::string& team) const
{
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(),
        [&](const QueuedRequest& request) { return request.team == team; }));
}

} // namespace ragwortwinch
