#include "ragwortwinch/placement/prompt_cache_model.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

// Guards against callers who make a VM remember parts that take no room at the engine.
TEST_CASE("the model of an engine's prompt cache has a limit on its parts, and keeps those used last")
{
    for (std::int64_t tokens : {0, 1}) {
        CAPTURE(tokens);
        PromptCacheModel promptCache;
        promptCache.setCapacity(1000000);
        for (std::uint64_t id = 0; id < 4 * PromptCacheModel::maxParts; ++id)
            promptCache.onPrefilled({{id, tokens}, {1ULL << 40, 7}});
        CHECK(promptCache.parts() == PromptCacheModel::maxParts);
        CHECK(promptCache.cachedTokens({{1ULL << 40, 7}}) == 7);
    }
}

} // namespace
} // namespace ragwortwinch
