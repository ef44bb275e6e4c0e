// Maps the values of an `enum class` to their names in files, logs and messages.
//
//     enum class Color { Red, Blue };
//     inline constexpr NameTable<Color, 2> colorNames { { { Color::Red, "red" }, { Color::Blue, "blue" } } };
//     colorNames.name(Color::Red);   // "red"
//     colorNames.parse("blue");      // Color::Blue
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortwinch {

// A fixed table of (value, name) pairs. Immutable, so safe to share between threads.
template <typename Enum, std::size_t Size> struct NameTable {
    std::array<std::pair<Enum, std::string_view>, Size> entries;

    // Returns the name of `value`, or "unknown" when the table lacks it.
    constexpr std::string_view name(Enum value) const
    {
        for (const std::pair<Enum, std::string_view>& entry : entries) {
            if (entry.first == value)
                return entry.second;
        }
        return "unknown";
    }

    // Returns the value whose name is `text`, or nothing.
    constexpr std::optional<Enum> parse(std::string_view text) const
    {
        for (const std::pair<Enum, std::string_view>& entry : entries) {
            if (entry.second == text)
                return entry.first;
        }
        return std::nullopt;
    }

    // Returns all names, separated by ", ", for error messages.
    std::string list() const
    {
        std::string text;
        for (const std::pair<Enum, std::string_view>& entry : entries) {
            if (!text.empty())
                text += ", ";
            text += entry.second;
        }
        return text;
    }
};

} // namespace ragwortwinch
