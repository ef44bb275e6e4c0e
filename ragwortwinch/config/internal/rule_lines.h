// Splits the text of the rules into lines, each with one rule and the comment that names who requested it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch::internal {

struct RuleLine {
    // 1-based, in the text of the rules.
    int number = 0;
    // The JSON object, without the trailing comma and comment.
    std::string object;
    // Without the leading `//`.
    std::string comment;
};

// Returns the lines that start with `{"rule"`; all others are skipped.
std::vector<RuleLine> splitRuleLines(std::string_view text);

} // namespace ragwortwinch::internal
