#include "ragwortwinch/base/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace ragwortwinch {

Result<Json> parseJson(std::string_view text, ErrorKind onError)
{
    try {
        return Json::parse(text, nullptr, true, true);
    } catch (const Json::parse_error& failure) {
        std::size_t offset = failure.byte > 0 ? failure.byte - 1 : 0;
        return makeError(onError,
            fmt::format("line {}: the text is not JSON with comments ({}); look for a missing or extra "
                        "comma, quote or bracket there",
                lineOfOffset(text, offset), failure.what()));
    } catch (const Json::out_of_range&) {
        return makeError(
            onError, "the text holds a number that is too large, such as 1e999; write a smaller one");
    }
}

Json parseJsonOrDiscard(std::string_view text) { return Json::parse(text, nullptr, false); }

int lineOfOffset(std::string_view text, std::size_t offset)
{
    std::string_view before = text.substr(0, std::min(offset, text.size()));
    return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}

std::string stringMember(const Json& object, const char* name)
{
    if (!object.is_object())
        return {};
    auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t integerMember(const Json& object, const char* name)
{
    if (!object.is_object())
        return 0;
    auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

bool booleanMember(const Json& object, const char* name)
{
    if (!object.is_object())
        return false;
    auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace ragwortwinch
