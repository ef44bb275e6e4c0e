#include "ragwortwinch/forward/prompt_cache_model.h"

namespace ragwortwinch {

void PromptCacheModel::onRead(const std::vector<PromptPart>& parts)
{
    for (const PromptPart& part : parts) {
        auto known = entries_.find(part.id);
        if (known != entries_.end()) {
            order_.splice(order_.begin(), order_, known->second);
            continue;
        }
        order_.push_front({part.id, part.tokens});
        entries_[part.id] = order_.begin();
        tokens_ += part.tokens;
    }
    while (tokens_ > capacity_ && !order_.empty()) {
        tokens_ -= order_.back().tokens;
        entries_.erase(order_.back().id);
        order_.pop_back();
    }
}

std::int64_t PromptCacheModel::keptTokens(const std::vector<PromptPart>& parts) const
{
    std::int64_t kept = 0;
    for (const PromptPart& part : parts) {
        if (!entries_.contains(part.id))
            break;
        kept += part.tokens;
    }
    return kept;
}

void PromptCacheModel::clear()
{
    order_.clear();
    entries_.clear();
    tokens_ = 0;
}

} // namespace ragwortwinch
