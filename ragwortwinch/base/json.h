// JSON with comments, as the project reads settings and rules.
//
//     Result<Json> document = parseJson(text, ErrorKind::BadSettings);   // "line 3: ..."
#pragma once

#include "ragwortwinch/base/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace ragwortwinch {

using Json = nlohmann::json;

// Parses JSON in which `//` and `/* */` comments are allowed. The error names the line.
Result<Json> parseJson(std::string_view text, ErrorKind onError);

// Parses what another process sent; returns a discarded value (`is_discarded()`) when it is no JSON.
Json parseJsonOrDiscard(std::string_view text);

// Returns the 1-based line of byte `offset`.
int lineOfOffset(std::string_view text, std::size_t offset);

// Member access that tolerates absent members and wrong types.
std::string stringMember(const Json& object, const char* name);
std::int64_t integerMember(const Json& object, const char* name);
bool booleanMember(const Json& object, const char* name);

} // namespace ragwortwinch
