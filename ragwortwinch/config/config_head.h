// The head names the configuration in force. It is the value of `config/head` in the store and changes only
// by compare-and-swap. The body is the configuration's text.
//
//     std::optional<ConfigHead> head = parseConfigHead(answer.value);
//     configPartKey(head->hash, 0);     // the key of the body's first part
//
// Bodies are immutable. They are stored in parts under `config/body/<hash>/<part>`, since the store limits
// the size of a value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

inline constexpr const char* configHeadKey = "config/head";
// Below the store's limit of 1 MB for a value.
inline constexpr std::size_t configPartBytes = 900 * 1024;

struct ConfigHead {
    // Increases by one with each accepted change; 0 means that none has been accepted.
    std::uint64_t version = 0;
    std::string changeId;
    // SHA-256 of the configuration's text, as hexadecimal digits.
    std::string hash;
    // The number of parts of the body.
    std::size_t parts = 0;
    // The ids of the most recent earlier changes, newest first: an operator who got no answer can find out
    // whether the change was accepted.
    std::vector<std::string> history;

    std::string toJson() const;
    // Returns whether this head or one in the history was written by change `id`.
    bool hasChange(const std::string& id) const;
};

// Returns the head, or nothing when `text` is not a valid head.
std::optional<ConfigHead> parseConfigHead(std::string_view text);

// Returns the store key of part `part` (from 0) of a body.
std::string configPartKey(const std::string& hash, std::size_t part);

// Returns the number of parts of a text of `bytes` bytes; at least 1.
std::size_t configPartCount(std::size_t bytes);

} // namespace ragwortwinch
