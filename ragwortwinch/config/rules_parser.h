// Parses and validates the operators' rules: JSON with comments, one rule per line, each with a comment that
// names who requested it.
//
//     { "rules": [
//     {"rule": "team", "name": "riders", "keys": ["<sha-256>"], "weight": 2},   // Nok, for the spring rota
//     {"rule": "limit", "name": "retry_percent", "value": 10}                   // operations
//     ] }
//
//     Result<Rules> rules = parseRules(text);   // the error lists problems with line and remedy
#pragma once

#include "ragwortwinch/base/result.h"
#include "ragwortwinch/config/rules.h"

#include <string_view>

namespace ragwortwinch {

// Fails with `BadRules`; the message has one line for each of the first 50 problems and counts the others.
Result<Rules> parseRules(std::string_view text);

} // namespace ragwortwinch
