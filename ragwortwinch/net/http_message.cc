#include "ragwortwinch/net/http_message.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace ragwortwinch {

namespace {

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    int lower = std::tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view HttpHeaders::get(std::string_view name) const
{
    for (const Field& field : fields_) {
        if (equalsIgnoringCase(field.first, name))
            return field.second;
    }
    return {};
}

bool HttpHeaders::has(std::string_view name) const
{
    return std::any_of(fields_.begin(), fields_.end(),
        [name](const Field& field) { return equalsIgnoringCase(field.first, name); });
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        std::size_t end = query.find('&');
        std::string_view pair = query.substr(0, end);
        std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (unsigned char character : text) {
        if (std::isalnum(character) || character == '-' || character == '_' || character == '.'
            || character == '~' || character == '/')
            encoded += static_cast<char>(character);
        else
            encoded += fmt::format("%{:02X}", character);
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size() && hexValue(text[index + 1]) >= 0
            && hexValue(text[index + 2]) >= 0) {
            decoded += static_cast<char>(hexValue(text[index + 1]) * 16 + hexValue(text[index + 2]));
            index += 2;
        } else
            decoded += text[index];
    }
    return decoded;
}

} // namespace ragwortwinch
