// The parts of a prompt, and those that it may share with other prompts: all but its last one.
//
//     std::vector<std::uint64_t> parts = sharedPartIds(request.promptParts);
//     LogEvent("request.end").with("shared_parts", partIdsText(parts));     // "5c1e07a2,91bd3f06"
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

// A consecutive part of a prompt. Requests may share leading parts.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

std::vector<std::uint64_t> sharedPartIds(const std::vector<PromptPart>& parts);

// Returns the ids in hexadecimal, as callers write them, separated by commas.
std::string partIdsText(const std::vector<std::uint64_t>& ids);

} // namespace ragwortwinch
