// Standard base64 with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ragwortwinch {

std::string encodeBase64(std::string_view bytes);
// Returns nothing when `text` is not valid base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace ragwortwinch
