// The configuration in force, as the path of requests reads it.
#pragma once

#include "ragwortwinch/admission/key_table.h"
#include "ragwortwinch/config/rules.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace ragwortwinch {

// Immutable; swapped as a whole.
struct ActiveConfig {
    explicit ActiveConfig(
        std::uint64_t configVersion = 0, std::shared_ptr<const Rules> inForce = std::make_shared<Rules>())
        : version(configVersion)
        , rules(std::move(inForce))
        , keys(rules)
    {
    }

    // Returns the route for `path`: an exact one, else the longest prefix that ends in '/'; null without one.
    const RouteRule* findRoute(std::string_view path) const;
    // Whether an engine serves `model`.
    bool hasModel(std::string_view model) const;

    std::uint64_t version;
    std::shared_ptr<const Rules> rules;
    KeyTable keys;
};

} // namespace ragwortwinch
