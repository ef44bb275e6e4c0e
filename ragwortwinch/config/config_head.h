// Which configuration is in force: the value of `config/head` in the store, moved by compare-and-swap only.
//
// Bodies are immutable, in parts under `config/body/<hash>/<part>`, since the store bounds a value's size.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch {

inline constexpr const char* configHeadKey = "config/head";
// The store takes values up to a megabyte.
inline constexpr std::size_t configPartBytes = 900 * 1024;

struct ConfigHead {
    // Grows by one with each accepted change; 0 means that none has been accepted.
    std::uint64_t version = 0;
    std::string changeId;
    // SHA-256 of the text.
    std::string hash;
    std::size_t parts = 0;
    // The latest change ids, newest first, so that an operator whose answer was lost finds its own.
    std::vector<std::string> history;

    std::string toJson() const;
    bool hasChange(const std::string& id) const;
};

// Returns the head, or nothing when `text` is none.
std::optional<ConfigHead> parseConfigHead(std::string_view text);

// Returns the store's key of one part of a body.
std::string configPartKey(const std::string& hash, std::size_t part);

// Returns how many parts a text of `bytes` takes.
std::size_t configPartCount(std::size_t bytes);

} // namespace ragwortwinch
