#include "ragwortwinch/placement/prompt_cache_model.h"

namespace ragwortwinch {

void PromptCacheModel::onPrefilled(const std::vector<PromptPart>& parts)
{
    for (const PromptPart& part : parts) {
        auto known = entries_.find(part.id);
        if (known != entries_.end()) {
            lru_.splice(lru_.begin(), lru_, known->second);
            continue;
        }
        lru_.push_front({part.id, part.tokens});
        entries_[part.id] = lru_.begin();
        tokens_ += part.tokens;
    }
    while ((tokens_ > capacity_ || entries_.size() > maxParts) && !lru_.empty()) {
        tokens_ -= lru_.back().tokens;
        entries_.erase(lru_.back().id);
        lru_.pop_back();
    }
}

std::int64_t PromptCacheModel::cachedTokens(const std::vector<PromptPart>& parts) const
{
    std::int64_t cached = 0;
    for (const PromptPart& part : parts) {
        if (!entries_.contains(part.id))
            break;
        cached += part.tokens;
    }
    return cached;
}

void PromptCacheModel::clear()
{
    lru_.clear();
    entries_.clear();
    tokens_ = 0;
}

} // namespace ragwortwinch
