#include "ragwortwinch/ctl/line_diff.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

} // namespace

std::vector<std::string> diffLines(std::string_view beforeText, std::string_view afterText)
{
    std::vector<std::string_view> before = splitLines(beforeText);
    std::vector<std::string_view> after = splitLines(afterText);
    std::size_t start = 0;
    while (start < before.size() && start < after.size() && before[start] == after[start])
        ++start;
    while (before.size() > start && after.size() > start && before.back() == after.back()) {
        before.pop_back();
        after.pop_back();
    }
    // common[row][column] is the length of the longest common subsequence of the lines from there on, without
    // the common prefix and suffix.
    std::size_t rows = before.size() - start;
    std::size_t columns = after.size() - start;
    std::vector<std::vector<std::size_t>> common(rows + 1, std::vector<std::size_t>(columns + 1));
    for (std::size_t row = rows; row-- > 0;) {
        for (std::size_t column = columns; column-- > 0;) {
            bool isSame = before[start + row] == after[start + column];
            common[row][column] = isSame ? common[row + 1][column + 1] + 1
                                         : std::max(common[row + 1][column], common[row][column + 1]);
        }
    }
    std::vector<std::string> lines;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < rows || column < columns) {
        if (row < rows && column < columns && before[start + row] == after[start + column]) {
            ++row;
            ++column;
        } else if (column >= columns || (row < rows && common[row + 1][column] >= common[row][column + 1]))
            lines.push_back("- " + std::string(before[start + row++]));
        else
            lines.push_back("+ " + std::string(after[start + column++]));
    }
    return lines;
}

} // namespace ragwortwinch
