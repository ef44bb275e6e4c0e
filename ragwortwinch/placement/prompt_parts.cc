#include "ragwortwinch/placement/prompt_parts.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace ragwortwinch {

std::vector<std::uint64_t> sharedPartIds(const std::vector<PromptPart>& parts)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
        ids.push_back(parts[index].id);
    return ids;
}

std::string partIdsText(const std::vector<std::uint64_t>& ids)
{
    return fmt::format("{:x}", fmt::join(ids, ","));
}

} // namespace ragwortwinch
