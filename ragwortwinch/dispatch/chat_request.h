// A validated chat request.
//
//     Result<ChatRequest> request = parseChatRequest(body);
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct ChatRequest {
    std::string model;
    bool wantsStream = false;
    std::int64_t maxTokens = 0;
    // The concatenated contents of all messages; for token estimates and prefix hashes.
    std::string prompt;
    Json body;

    // Estimates the number of prompt tokens from the prompt's length.
    std::int64_t promptTokens() const;
};

// Returns `ErrorKind::BadRequest` if `body` is not a valid chat request.
Result<ChatRequest> parseChatRequest(std::string_view body);

} // namespace ragwortwinch
