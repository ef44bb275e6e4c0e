#include "ragwortwinch/net/reply_head_reader.h"

#include "ragwortwinch/net/reply_head.h"

#include <algorithm>
#include <charconv>

namespace ragwortwinch {

namespace {

std::string_view withoutEnd(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    std::size_t start = std::min(text.find_first_not_of(blanks), text.size());
    text.remove_prefix(start);
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

// Returns the status in a status line, or 0 if there is none.
int statusOfLine(std::string_view line)
{
    int status = 0;
    line.remove_prefix(std::min(line.find(' ') + 1, line.size()));
    std::from_chars(line.data(), line.data() + line.size(), status);
    return status;
}

} // namespace

std::string ReplyHeadReader::onLine(std::string_view line, HttpHeaders& headers)
{
    line = withoutEnd(line);
    if (line.starts_with("HTTP/")) {
        // Drops the fields of an interim reply before this one.
        headers = {};
        return onStatusLine(line);
    }
    return line.empty() ? "" : onField(line, headers);
}

std::string ReplyHeadReader::onStatusLine(std::string_view line)
{
    int status = statusOfLine(line);
    return isInterimStatus(status) || isFinalStatus(status)
        ? ""
        : "the reply's status is none that a reply may have";
}

std::string ReplyHeadReader::onField(std::string_view line, HttpHeaders& headers)
{
    std::size_t colon = line.find(':');
    std::string_view name = line.substr(0, colon);
    // A line that continues the one before begins with a blank; gateways may refuse it (RFC 9112,
    // section 5.2).
    if (colon == std::string_view::npos || !isFieldName(name))
        return "the name of a field in the reply is invalid";
    headers.add(std::string(name), std::string(trimmed(line.substr(colon + 1))));
    return {};
}

} // namespace ragwortwinch
