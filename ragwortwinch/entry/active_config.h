// The active configuration, as read by request threads.
#pragma once

#include "ragwortwinch/admission/key_table.h"
#include "ragwortwinch/config/rules.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace ragwortwinch {

// Immutable; replaced as a whole.
struct ActiveConfig {
    explicit ActiveConfig(
        std::uint64_t configVersion = 0, std::shared_ptr<const Rules> activeRules = std::make_shared<Rules>())
        : version(configVersion)
        , rules(std::move(activeRules))
        , keys(rules)
    {
    }

    // Returns the matching route with the longest path, or null. A route whose path ends in '/' matches all
    // paths below it, and its path without the slash.
    const RouteRule* findRoute(std::string_view path) const;
    // Returns whether an engine serves `model`.
    bool hasModel(std::string_view model) const;

    std::uint64_t version;
    std::shared_ptr<const Rules> rules;
    KeyTable keys;
};

} // namespace ragwortwinch
