#include "ragwortwinch/config/internal/settings_fields.h"

#include <fmt/format.h>

namespace ragwortwinch::internal {

SocketAddress readAddress(FieldReader& reader, const std::string& field)
{
    std::string text = reader.requiredText(field);
    if (text.empty())
        return {};
    std::optional<SocketAddress> address = parseSocketAddress(text);
    if (!address)
        reader.problem(field,
            fmt::format("field `{}` must be an IP number and a port, such as \"10.0.3.7:8080\"", field));
    return address.value_or(SocketAddress{});
}

std::vector<SocketAddress> readAddresses(FieldReader& reader, const std::string& field)
{
    std::vector<SocketAddress> addresses;
    for (const std::string& text : reader.texts(field)) {
        if (std::optional<SocketAddress> address = parseSocketAddress(text))
            addresses.push_back(*address);
        else
            reader.problem(
                field, fmt::format("`{}` is not an IP number and a port, such as \"10.0.3.7:8300\"", text));
    }
    return addresses;
}

Millis readMillis(FieldReader& reader, const std::string& field, Millis fallback, std::int64_t minimum,
    std::int64_t maximum)
{
    return Millis(reader.number(field, fallback.count(), minimum, maximum));
}

std::string readUrl(FieldReader& reader, const std::string& field)
{
    std::string url = reader.requiredText(field);
    if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://"))
        reader.problem(field, fmt::format("field `{}` must start with http:// or https://", field));
    return url;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

int lineOfField(std::string_view text, const std::string& field)
{
    std::size_t offset = field.empty() ? std::string_view::npos : text.find("\"" + field + "\"");
    return offset == std::string_view::npos ? 1 : lineOfOffset(text, offset);
}

} // namespace ragwortwinch::internal
