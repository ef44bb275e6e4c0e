#include "testing/protocol/virtual_store.h"

#include <memory>

namespace ragwortwinch::protocol {

VirtualStore::VirtualStore(VirtualTime& time, std::mt19937_64& random)
    : time_(time)
    , random_(random)
{
}

void VirtualStore::execute(StoreOp op, bool isPartitioned, std::function<void(StoreAnswer)> onAnswer)
{
    auto isAnswered = std::make_shared<bool>(false);
    std::uint64_t id = op.id;
    auto answerOnce = [isAnswered, onAnswer = std::move(onAnswer)](const StoreAnswer& answer) {
        if (!std::exchange(*isAnswered, true))
            onAnswer(answer);
    };
    time_.after(clientTimeout, [answerOnce, id] {
        StoreAnswer unknown;
        unknown.opId = id;
        answerOnce(unknown);
    });
    if (isPartitioned || chance(faults_.lostRequest))
        return;
    Millis transit = chance(faults_.slowRequest) ? delay(maxTransit.count()) : delay(10);
    time_.after(transit, [this, op = std::move(op), answerOnce, id] {
        StoreAnswer answer;
        if (hasOutage_)
            answer.status = StoreStatus::Unavailable;
        else
            answer = apply(op);
        answer.opId = id;
        answer.era = era_;
        if (chance(faults_.lostAnswer))
            return;
        time_.after(delay(10), [answerOnce, answer] { answerOnce(answer); });
    });
}

void VirtualStore::keepCopies()
{
    if (!era_)
        era_ = 1;
    expire();
    copies_.push_back({time_.now(), revision_, values_, leases_});
    while (time_.now() - copies_.front().at > maxCopyAge)
        copies_.pop_front();
    time_.after(copyInterval, [this] { keepCopies(); });
}

void VirtualStore::restore(Millis age)
{
    while (copies_.size() > 1 && time_.now() - copies_.back().at < age)
        copies_.pop_back();
    const Copy& copy = copies_.back();
    Millis shift = std::chrono::duration_cast<Millis>(time_.now() - copy.at);
    values_ = copy.values;
    revision_ = copy.revision;
    previousValues_.clear();
    // Leases go on with the time that they had left in the copy.
    leases_ = copy.leases;
    for (auto& [lease, expiresAt] : leases_)
        expiresAt += shift;
    ++*era_;
}

void VirtualStore::expire()
{
    std::erase_if(leases_, [&](const auto& entry) { return entry.second <= time_.now(); });
    std::erase_if(values_,
        [&](const auto& entry) { return entry.second.lease != 0 && !leases_.contains(entry.second.lease); });
}

StoreAnswer VirtualStore::apply(const StoreOp& op)
{
    expire();
    if (op.verb == StoreVerb::Get || op.verb == StoreVerb::List)
        return read(op);
    if (op.verb == StoreVerb::KeepAlive)
        return renew(op);
    return write(op);
}

StoreAnswer VirtualStore::read(const StoreOp& op)
{
    StoreAnswer answer;
    answer.status = StoreStatus::Ok;
    if (op.verb == StoreVerb::List) {
        for (auto entry = values_.lower_bound(op.key);
             entry != values_.end() && entry->first.starts_with(op.key); ++entry)
            answer.entries.push_back({entry->first, entry->second.text, entry->second.revision});
        return answer;
    }
    auto old = previousValues_.find(op.key);
    if (old != previousValues_.end() && time_.now() - old->second.replacedAt <= maxReadStaleness
        && chance(faults_.staleRead)) {
        answer.value = old->second.value.text;
        answer.revision = old->second.value.revision;
        answer.lease = old->second.value.lease;
        return answer;
    }
    auto found = values_.find(op.key);
    if (found == values_.end()) {
        answer.status = StoreStatus::NotFound;
        return answer;
    }
    answer.value = found->second.text;
    answer.revision = found->second.revision;
    answer.lease = found->second.lease;
    return answer;
}

StoreAnswer VirtualStore::renew(const StoreOp& op)
{
    StoreAnswer answer;
    auto found = leases_.find(op.lease);
    answer.status = found == leases_.end() ? StoreStatus::NotFound : StoreStatus::Ok;
    if (found != leases_.end())
        found->second = time_.now() + op.ttl;
    return answer;
}

StoreAnswer VirtualStore::write(const StoreOp& op)
{
    StoreAnswer answer;
    auto found = values_.find(op.key);
    std::uint64_t current = found == values_.end() ? 0 : found->second.revision;
    if (op.expectedRevision && *op.expectedRevision != current) {
        answer.status = StoreStatus::Conflict;
        answer.revision = current;
        return answer;
    }
    answer.status = StoreStatus::Ok;
    if (found != values_.end())
        previousValues_[op.key] = {found->second, time_.now()};
    answer.revision = ++revision_;
    if (op.verb == StoreVerb::Delete)
        values_.erase(op.key);
    else {
        // A revision is also the number of the lease that the write is granted.
        if (op.ttl.count() > 0) {
            answer.lease = revision_;
            leases_[answer.lease] = time_.now() + op.ttl;
        }
        values_[op.key] = {op.value, revision_, answer.lease};
    }
    if (observer_)
        observer_(op, revision_);
    return answer;
}

std::string VirtualStore::valueOf(const std::string& key) const
{
    auto found = values_.find(key);
    return found == values_.end() ? std::string() : found->second.text;
}

} // namespace ragwortwinch::protocol
