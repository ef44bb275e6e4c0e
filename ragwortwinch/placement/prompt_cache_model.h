// Estimates which prompt parts are in an engine's KV cache, from the prompts that this VM sent to it.
//
//     model.onPrefilled(parts);
//     std::int64_t cached = model.cachedTokens(parts);
//
// Models an LRU cache of parts. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/placement/prompt_parts.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

class PromptCacheModel {
public:
    // Parts that are kept at most, whatever their tokens: callers name them, and one of few tokens takes as
    // much memory here as any other.
    static constexpr std::size_t maxParts = 8192;

    // Tokens in the engine's cache that prompts of this VM can occupy.
    void setCapacity(std::int64_t tokens) { capacity_ = tokens; }
    // Called when a prompt is sent; its parts are assumed to be cached from then on.
    void onPrefilled(const std::vector<PromptPart>& parts);
    // Tokens of the longest prefix of `parts` that is expected to be cached.
    std::int64_t cachedTokens(const std::vector<PromptPart>& parts) const;
    void clear();
    std::size_t parts() const { return entries_.size(); }

private:
    struct Entry {
        std::uint64_t id = 0;
        std::int64_t tokens = 0;
    };

    // In tokens.
    std::int64_t capacity_ = 200000;
    std::int64_t tokens_ = 0;
    // Most recently used first.
    std::list<Entry> lru_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries_;
};

} // namespace ragwortwinch
