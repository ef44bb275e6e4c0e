// Helpers to parse `Settings` and `GatewaySettings`: readers of common field types, and a function that
// parses a text and collects all problems.
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/result.h"
#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/internal/field_reader.h"
#include "ragwortwinch/config/socket_address.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortwinch::internal {

// Each of these reads one field and reports an invalid value as a problem; `readAddress` and `readUrl` also
// an absent one.
SocketAddress readAddress(FieldReader& reader, const std::string& field);
std::vector<SocketAddress> readAddresses(FieldReader& reader, const std::string& field);
Millis readMillis(FieldReader& reader, const std::string& field, Millis fallback, std::int64_t minimum,
    std::int64_t maximum);
std::string readUrl(FieldReader& reader, const std::string& field);

enum class UnknownFields { Refuse, LogAndIgnore };

std::string joinLines(const std::vector<std::string>& lines);
// Returns the 1-based line of the first occurrence of `field` in `text`, or 1 if there is none.
int lineOfField(std::string_view text, const std::string& field);

// Parses `text` and returns what `read(FieldReader&, const Json&)` makes of it. Fails with `BadSettings` and
// all problems, one per line.
template <typename T, typename Read>
Result<T> parseSettingsText(std::string_view text, UnknownFields unknown, Read read)
{
    BOOST_LEAF_AUTO(document, parseJson(text, ErrorKind::BadSettings));
    if (!document.is_object())
        return makeError(
            ErrorKind::BadSettings, "line 1: settings are one JSON object; start the file with {");
    std::vector<std::string> problems;
    FieldReader reader(
        document, [&text](const std::string& field) { return lineOfField(text, field); }, problems);
    T settings = read(reader, document);
    if (unknown == UnknownFields::Refuse)
        reader.reportUnknown();
    else
        reader.logUnknown();
    if (!problems.empty())
        return makeError(ErrorKind::BadSettings, joinLines(problems));
    return settings;
}

} // namespace ragwortwinch::internal
