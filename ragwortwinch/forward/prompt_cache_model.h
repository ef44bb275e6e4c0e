// What an engine's cache is believed to hold, from the prompts that this VM has sent there.
//
//     model.onPrefilled(parts, now);
//     std::int64_t kept = model.cachedTokens(parts);
//
// Parts are kept in the order of their last use and forgotten beyond the capacity. Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/forward/request_codec.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

class PromptCacheModel {
public:
    // Of the engine's memory, the tokens that the prompts of this VM can fill.
    void setCapacity(std::int64_t tokens) { capacity_ = tokens; }
    void onPrefilled(const std::vector<PromptPart>& parts);
    // Tokens of the leading parts that are believed to be kept.
    std::int64_t cachedTokens(const std::vector<PromptPart>& parts) const;
    void clear();

private:
    struct Entry {
        std::uint64_t id = 0;
        std::int64_t tokens = 0;
    };

    std::int64_t capacity_ = 200000;
    std::int64_t tokens_ = 0;
    // The latest used first.
    std::list<Entry> lru_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries_;
};

} // namespace ragwortwinch
