#include "ragwortwinch/routing/prefix_index.h"

#include <functional>

namespace ragwortwinch {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

// The first steps of MurmurHash3's 64-bit finalizer.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::vector<std::uint64_t> hashPrefixes(
    std::string_view text, std::size_t bytesPerBlock, std::size_t maxBlocks)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = fnvOffset;
    for (std::size_t start = 0; start + bytesPerBlock <= text.size() && hashes.size() < maxBlocks;
         start += bytesPerBlock) {
        for (unsigned char byte : text.substr(start, bytesPerBlock))
            hash = (hash ^ byte) * fnvPrime;
        hashes.push_back(mix(hash));
    }
    return hashes;
}

std::uint64_t PrefixIndex::keyOf(const std::string& endpoint, std::uint64_t prefix)
{
    return prefix ^ mix(std::hash<std::string>()(endpoint));
}

void PrefixIndex::add(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (std::uint64_t prefix : prefixes) {
        std::uint64_t key = keyOf(endpoint, prefix);
        auto found = entries_.find(key);
        if (found != entries_.end()) {
            recencyList_.splice(recencyList_.end(), recencyList_, found->second);
            continue;
        }
        recencyList_.push_back({endpoint, prefix});
        entries_[key] = std::prev(recencyList_.end());
        if (entries_.size() > maxEntries_) {
            const Entry& oldest = recencyList_.front();
            entries_.erase(keyOf(oldest.endpoint, oldest.prefix));
            recencyList_.pop_front();
        }
    }
}

std::size_t PrefixIndex::match(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::size_t count = 0;
    for (std::uint64_t prefix : prefixes) {
        if (!entries_.contains(keyOf(endpoint, prefix)))
            break;
        ++count;
    }
    return count;
}

void PrefixIndex::remove(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (std::uint64_t prefix : prefixes) {
        auto found = entries_.find(keyOf(endpoint, prefix));
        if (found == entries_.end())
            continue;
        recencyList_.erase(found->second);
        entries_.erase(found);
    }
}

void PrefixIndex::removeEndpoint(const std::string& endpoint)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto entry = recencyList_.begin(); entry != recencyList_.end();) {
        if (entry->endpoint != endpoint) {
            ++entry;
            continue;
        }
        entries_.erase(keyOf(entry->endpoint, entry->prefix));
        entry = recencyList_.erase(entry);
    }
}

std::size_t PrefixIndex::size() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return entries_.size();
}

} // namespace ragwortwinch
