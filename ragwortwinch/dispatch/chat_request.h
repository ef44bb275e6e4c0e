// A caller's chat request, checked.
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
    // The contents of all messages, joined; for estimates and prefix hashes.
    std::string prompt;
    Json body;

    // An estimate from the prompt's length.
    std::int64_t promptTokens() const;
};

Result<ChatRequest> parseChatRequest(std::string_view body);

} // namespace ragwortwinch
