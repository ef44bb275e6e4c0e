#include "ragwortwinch/store/store_news_receiver.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

StoreNewsReceiver::StoreNewsReceiver(const std::vector<std::string>& prefixes)
{
    for (const std::string& prefix : prefixes)
        floors_[prefix] = 0;
}

void StoreNewsReceiver::onEra(std::optional<std::uint64_t> era)
{
    if (era == era_)
        return;
    era_ = era;
    applied_.clear();
    removedKeys_.clear();
    for (auto& [prefix, floor] : floors_)
        floor = 0;
}

bool StoreNewsReceiver::isShared(std::string_view key) const
{
    return std::any_of(
        floors_.begin(), floors_.end(), [key](const std::pair<const std::string, std::uint64_t>& entry) {
            return key.starts_with(entry.first);
        });
}

std::uint64_t StoreNewsReceiver::floorOf(std::string_view key) const
{
    for (const auto& [prefix, floor] : floors_) {
        if (key.starts_with(prefix))
            return floor;
    }
    return 0;
}

StoreNewsReceiver::NewerList StoreNewsReceiver::onList(
    const std::string& prefix, std::vector<StoreEntry> entries, std::uint64_t revision)
{
    NewerList result;
    std::set<std::string> listed;
    for (StoreEntry& entry : entries) {
        listed.insert(entry.key);
        auto known = applied_.find(entry.key);
        if (known != applied_.end() && known->second.revision > entry.revision) {
            if (!known->second.isRemoval)
                result.newerKeys.insert(entry.key);
            continue;
        }
        applied_[entry.key] = {entry.revision, false};
        removedKeys_.erase(entry.key);
        result.entries.push_back(std::move(entry));
    }
    for (auto known = applied_.begin(); known != applied_.end();) {
        bool isMissing = known->first.starts_with(prefix) && !listed.contains(known->first);
        if (isMissing && known->second.revision <= revision) {
            removedKeys_.erase(known->first);
            known = applied_.erase(known);
            continue;
        }
        if (isMissing && !known->second.isRemoval)
            result.newerKeys.insert(known->first);
        ++known;
    }
    std::uint64_t& floor = floors_[prefix];
    floor = std::max(floor, revision);
    return result;
}

bool StoreNewsReceiver::acceptFromStore(const StoreEvent& event)
{
    // Without a revision there is nothing to compare; the store's own word counts.
    if (event.revision == 0)
        return isShared(event.key);
    return accept(event);
}

bool StoreNewsReceiver::acceptFromPeer(std::optional<std::uint64_t> era, const StoreEvent& event)
{
    return era == era_ && accept(event);
}

bool StoreNewsReceiver::accept(const StoreEvent& event)
{
    if (!isShared(event.key))
        return false;
    auto known = applied_.find(event.key);
    std::uint64_t newest = known == applied_.end() ? floorOf(event.key) : known->second.revision;
    if (event.revision <= newest)
        return false;
    applied_[event.key] = {event.revision, event.isRemoval};
    if (event.isRemoval)
        removedKeys_.insert(event.key);
    else
        removedKeys_.erase(event.key);
    return true;
}

void StoreNewsReceiver::onPosition(std::uint64_t revision)
{
    for (auto& [prefix, floor] : floors_)
        floor = std::max(floor, revision);
    for (auto key = removedKeys_.begin(); key != removedKeys_.end();) {
        auto known = applied_.find(*key);
        // From here on the floor tells that earlier changes of the key are old.
        bool isCovered = known != applied_.end() && known->second.revision <= revision;
        if (isCovered)
            applied_.erase(known);
        key = isCovered ? removedKeys_.erase(key) : std::next(key);
    }
}

} // namespace ragwortwinch
