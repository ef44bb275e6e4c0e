#include "ragwortwinch/config/internal/rule_lines.h"

namespace ragwortwinch::internal {

namespace {

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

// Returns where a `//` comment starts outside of a string, or the length.
std::size_t commentStart(std::string_view line)
{
    bool isInString = false;
    for (std::size_t index = 0; index < line.size(); ++index) {
        if (isInString && line[index] == '\\')
            ++index;
        else if (line[index] == '"')
            isInString = !isInString;
        else if (!isInString && line.substr(index).starts_with("//"))
            return index;
    }
    return line.size();
}

} // namespace

std::vector<RuleLine> splitRuleLines(std::string_view text)
{
    std::vector<RuleLine> lines;
    int number = 0;
    while (!text.empty()) {
        ++number;
        std::size_t end = text.find('\n');
        std::string_view line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        std::size_t split = commentStart(line);
        std::string_view object = trim(line.substr(0, split));
        if (!object.starts_with("{") || !object.substr(1).starts_with("\"rule\""))
            continue;
        if (object.ends_with(","))
            object = trim(object.substr(0, object.size() - 1));
        std::string_view comment = split < line.size() ? trim(line.substr(split + 2)) : std::string_view();
        lines.push_back({number, std::string(object), std::string(comment)});
    }
    return lines;
}

} // namespace ragwortwinch::internal
