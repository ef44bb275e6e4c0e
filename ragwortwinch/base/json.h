// Parsing of JSON: with comments for settings and rules, without for messages of other processes.
//
//     Result<Json> document = parseJson(text, ErrorKind::BadSettings);   // "line 3: ..."
#pragma once

#include "ragwortwinch/base/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace ragwortwinch {

using Json = nlohmann::json;

// Parses JSON in which `//` and `/* */` comments are allowed. Fails with an error of kind `onError` that
// names the line.
Result<Json> parseJson(std::string_view text, ErrorKind onError);

// Parses JSON without comments; returns a discarded value (see `is_discarded()`) when `text` is invalid.
Json parseJsonOrDiscard(std::string_view text);

// Returns the 1-based line of byte `offset`.
int lineOfOffset(std::string_view text, std::size_t offset);

// Return the member `name` of `object`. An absent member or one of another type yields "", 0 or false.
std::string stringMember(const Json& object, const char* name);
std::int64_t integerMember(const Json& object, const char* name);
bool booleanMember(const Json& object, const char* name);

} // namespace ragwortwinch
