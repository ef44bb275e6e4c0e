// Adds and removes key hashes in the text of the rules, leaving the rest unchanged, comments included.
//
//     Result<std::string> text = addKeyHash(rules, "riders", hash);
#pragma once

#include "ragwortwinch/base/result.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

// Returns the text with `hash` added to the keys of `team`, whose rule must be on one line. Fails with
// BadRules if there is no such rule with a `keys` list.
Result<std::string> addKeyHash(std::string_view rules, const std::string& team, const std::string& hash);

// Returns the text without the one key hash that starts with `hashPrefix`, at least 8 hexadecimal digits.
// Fails with BadRequest on any other prefix and with BadRules if no hash, or more than one, matches.
Result<std::string> removeKeyHash(std::string_view rules, const std::string& hashPrefix);

} // namespace ragwortwinch
