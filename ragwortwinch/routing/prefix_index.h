// Tracks which prompt prefixes each endpoint holds in its KV cache. Approximate: it is built from this node's
// dispatches and from cache events, which arrive late.
//
//     PrefixIndex index(65536);
//     index.add("brew-1", prefixes);
//     index.match("brew-1", prefixes);     // number of leading prefixes that it holds
//
// Bounded: the least recently added entries are evicted first. Thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

// Tokens in one block of a prefix. Callers of `hashPrefixes` convert it to bytes.
inline constexpr std::int64_t prefixBlockTokens = 64;

class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maxEntries)
        : maxEntries_(maxEntries)
    {
    }

    void add(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes);
    std::size_t match(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes) const;
    // Removes prefixes that the endpoint has evicted.
    void remove(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes);
    // Removes all entries of an endpoint. Call it after a restart or missed events, when they may be wrong.
    void removeEndpoint(const std::string& endpoint);
    std::size_t size() const;

private:
    struct Entry {
        std::string endpoint;
        std::uint64_t prefix = 0;
    };
    // Least recently added first.
    using RecencyList = std::list<Entry>;

    static std::uint64_t keyOf(const std::string& endpoint, std::uint64_t prefix);

    mutable std::mutex mutex_;
    std::size_t maxEntries_;
    RecencyList recencyList_;
    std::unordered_map<std::uint64_t, RecencyList::iterator> entries_;
};

// Returns the hashes of the prefixes of `text` that end at a block boundary, shortest first, at most
// `maxBlocks`.
std::vector<std::uint64_t> hashPrefixes(
    std::string_view text, std::size_t bytesPerBlock, std::size_t maxBlocks);

} // namespace ragwortwinch
