// Adds and removes key hashes in the text of the rules, leaving every other character as it is.
//
//     Result<std::string> text = addKeyHash(rules, "riders", hash);
#pragma once

#include "ragwortwinch/base/result.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns the text with `hash` added to the keys of `team`.
Result<std::string> addKeyHash(std::string_view rules, const std::string& team, const std::string& hash);

// Returns the text without the one key whose hash starts with `hashPrefix`.
Result<std::string> removeKeyHash(std::string_view rules, const std::string& hashPrefix);

} // namespace ragwortwinch
