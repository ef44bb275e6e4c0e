// Which endpoints hold the KV cache of which prompt prefixes, as far as own dispatches and late cache events
// tell.
//
//     PrefixIndex index(65536);
//     index.add("brew-1", prefixes);
//     index.match("brew-1", prefixes);     // how many of the prefixes it holds, from the start
//
// Bounded: the oldest entries go first. Thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

// Tokens in one block of a prefix.
inline constexpr std::int64_t prefixBlockTokens = 64;

class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maxEntries)
        : maxEntries_(maxEntries)
    {
    }

    void add(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes);
    std::size_t match(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes) const;
    // The endpoint evicted these blocks.
    void remove(const std::string& endpoint, const std::vector<std::uint64_t>& prefixes);
    // Events of the endpoint were missed, or it restarted: nothing that is known of it can be trusted.
    void forget(const std::string& endpoint);
    std::size_t size() const;

private:
    struct Entry {
        std::string endpoint;
        std::uint64_t prefix = 0;
    };
    using Order = std::list<Entry>;

    static std::uint64_t keyOf(const std::string& endpoint, std::uint64_t prefix);

    mutable std::mutex mutex_;
    std::size_t maxEntries_;
    Order order_;
    std::unordered_map<std::uint64_t, Order::iterator> entries_;
};

// Returns the hashes of the growing prefixes of `text`, in blocks of `bytesPerBlock`.
std::vector<std::uint64_t> hashPrefixes(
    std::string_view text, std::size_t bytesPerBlock, std::size_t maxBlocks);

} // namespace ragwortwinch
