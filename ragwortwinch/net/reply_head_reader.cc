#include "ragwortwinch/net/reply_head_reader.h"

#include "ragwortwinch/net/reply_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace ragwortwinch {

namespace {

constexpr std::string_view transferEncoding = "Transfer-Encoding";
constexpr std::string_view contentLength = "Content-Length";

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

bool isLength(std::string_view text)
{
    std::uint64_t length = 0;
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), length);
    return !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
}

// Returns the status in a status line of HTTP/1.0 or 1.1, or nothing if it is none.
std::optional<int> parseStatusLine(std::string_view line)
{
    constexpr std::size_t versionLength = 9;
    constexpr std::size_t statusLength = 3;
    if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 "))
        return std::nullopt;
    line.remove_prefix(versionLength);
    int status = 0;
    const char* end = line.data() + std::min(line.size(), statusLength);
    bool hasDigits = std::from_chars(line.data(), end, status).ptr == line.data() + statusLength;
    line.remove_prefix(std::min(line.size(), statusLength));
    return hasDigits && (line.empty() || line.front() == ' ') ? std::optional<int>(status) : std::nullopt;
}

} // namespace

std::string ReplyHeadReader::onLine(std::string_view line, HttpHeaders& headers)
{
    line = withoutEnd(line);
    if (!isFieldValue(line))
        return "the reply's head has a control byte";
    if (part_ == Part::StatusLine) {
        // Drops the fields of an interim reply before this one.
        headers = {};
        return onStatusLine(line);
    }
    if (!line.empty())
        return onField(line, headers);
    onBlankLine();
    return {};
}

std::string ReplyHeadReader::onStatusLine(std::string_view line)
{
    std::optional<int> status = parseStatusLine(line);
    if (!status)
        return "the reply's status line is invalid";
    if (!isInterimStatus(*status) && !isFinalStatus(*status))
        return "the reply's status is none that a reply may have";
    isHttp10_ = line.starts_with("HTTP/1.0");
    part_ = isInterimStatus(*status) ? Part::InterimFields : Part::FinalFields;
    return {};
}

void ReplyHeadReader::onBlankLine()
{
    part_ = part_ == Part::InterimFields ? Part::StatusLine : Part::Trailer;
}

std::string ReplyHeadReader::onField(std::string_view line, HttpHeaders& headers) const
{
    std::size_t colon = line.find(':');
    std::string_view name = line.substr(0, colon);
    // A line that continues the one before begins with a blank; gateways may refuse it (RFC 9112,
    // section 5.2).
    if (colon == std::string_view::npos || !isFieldName(name))
        return "the name of a field in the reply is invalid";
    // What comes behind the body must not change what the head says (RFC 9110, section 6.5.1).
    if (part_ == Part::Trailer)
        return {};
    std::string_view value = trimmed(line.substr(colon + 1));
    std::string problem = checkBodyField(name, value, headers);
    headers.add(std::string(name), std::string(value));
    return problem;
}

std::string ReplyHeadReader::checkBodyField(
    std::string_view name, std::string_view value, const HttpHeaders& before) const
{
    if (equalsIgnoringCase(name, transferEncoding)) {
        bool isReadable = isReadableTransferCoding(value, isHttp10_) && !before.has(transferEncoding);
        if (!isReadable)
            return "the reply's transfer coding is not chunked";
    } else if (equalsIgnoringCase(name, contentLength)) {
        if (!isLength(value) || (before.has(contentLength) && before.get(contentLength) != value))
            return "the reply's length is no number, or there are two";
    } else if (equalsIgnoringCase(name, "Content-Encoding"))
        return value.empty() || equalsIgnoringCase(value, "identity")
            ? ""
            : "the reply's body is encoded, which was not asked for";
    else
        return {};
    bool hasBoth = before.has(equalsIgnoringCase(name, contentLength) ? transferEncoding : contentLength);
    return hasBoth ? "the reply has a length and chunks" : "";
}

} // namespace ragwortwinch
