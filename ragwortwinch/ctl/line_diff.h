// Line-by-line diff of two texts, for `ragwortwinch diff`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

// Returns the differing lines in order, prefixed with "- " (only in `before`) or "+ " (only in `after`).
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace ragwortwinch
