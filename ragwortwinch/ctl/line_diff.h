// The lines that differ between two texts, for `ragwortwinch diff`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

// Returns the differing lines in order, each with "-" (only in `before`) or "+" (only in `after`) in front.
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace ragwortwinch
