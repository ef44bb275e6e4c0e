#include "ragwortwinch/ctl/key_editor.h"

#include <fmt/format.h>
#include <regex>

namespace ragwortwinch {

namespace {

constexpr std::size_t minPrefixDigits = 8;

} // namespace

Result<std::string> addKeyHash(std::string_view rules, const std::string& team, const std::string& hash)
{
    std::string text(rules);
    std::size_t start = 0;
    while (start < text.size()) {
        std::size_t end = std::min(text.find('\n', start), text.size());
        std::string line = text.substr(start, end - start);
        std::smatch name;
        bool isTeam = line.find("\"team\"") != std::string::npos
            && std::regex_search(line, name, std::regex(R"re("name"\s*:\s*"([^"]*)")re")) && name[1] == team;
        std::smatch keys;
        if (isTeam && std::regex_search(line, keys, std::regex(R"re("keys"\s*:\s*\[)re"))) {
            std::size_t position = start + static_cast<std::size_t>(keys.position() + keys.length());
            bool isEmpty = text.find_first_not_of(" \t", position) == text.find(']', position);
            text.insert(position, fmt::format("\"{}\"{}", hash, isEmpty ? "" : ", "));
            return text;
        }
        start = end + 1;
    }
    return makeError(ErrorKind::BadRules,
        fmt::format("no line has a team rule named `{}` with a `keys` list; add one first", team));
}

Result<std::string> removeKeyHash(std::string_view rules, const std::string& hashPrefix)
{
    if (hashPrefix.size() < minPrefixDigits
        || hashPrefix.find_first_not_of("0123456789abcdef") != std::string::npos)
        return makeError(
            ErrorKind::BadRequest, "give at least the first 8 hexadecimal digits of the key's hash");
    std::string text(rules);
    std::size_t first = text.find("\"" + hashPrefix);
    if (first == std::string::npos)
        return makeError(ErrorKind::BadRules,
            fmt::format("no key's hash starts with {}; see the `keys` lists of the rules", hashPrefix));
    if (text.find("\"" + hashPrefix, first + 1) != std::string::npos)
        return makeError(ErrorKind::BadRules,
            fmt::format("several keys' hashes start with {}; give more digits", hashPrefix));
    std::size_t end = text.find('"', first + 1) + 1;
    std::size_t next = text.find_first_not_of(" \t", end);
    if (next != std::string::npos && text[next] == ',') {
        end = text.find_first_not_of(" \t", next + 1);
    } else {
        std::size_t previous = text.find_last_not_of(" \t", first - 1);
        if (text[previous] == ',')
            first = previous;
    }
    text.erase(first, end - first);
    return text;
}

} // namespace ragwortwinch
