// Splits the text of the rules into its lines: each holds one rule and the comment that names who asked for
// it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch::internal {

struct RuleLine {
    int number = 0;
    // The JSON object, without comma and comment.
    std::string object;
    std::string comment;
};

// Returns the lines that start with an object inside the list of rules.
std::vector<RuleLine> splitRuleLines(std::string_view text);

} // namespace ragwortwinch::internal
