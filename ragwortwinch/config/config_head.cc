#include "ragwortwinch/config/config_head.h"

#include "ragwortwinch/base/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace ragwortwinch {

std::string ConfigHead::toJson() const
{
    return Json({{"version", version}, {"change_id", changeId}, {"hash", hash}, {"parts", parts},
                    {"history", history}})
        .dump();
}

bool ConfigHead::hasChange(const std::string& id) const
{
    return changeId == id || std::find(history.begin(), history.end(), id) != history.end();
}

std::optional<ConfigHead> parseConfigHead(std::string_view text)
{
    Json document = parseJsonOrDiscard(text);
    ConfigHead head;
    head.version = static_cast<std::uint64_t>(integerMember(document, "version"));
    head.changeId = stringMember(document, "change_id");
    head.hash = stringMember(document, "hash");
    head.parts = static_cast<std::size_t>(integerMember(document, "parts"));
    if (head.version == 0 || head.hash.empty() || head.parts == 0)
        return std::nullopt;
    if (document.contains("history") && document["history"].is_array()) {
        for (const Json& item : document["history"]) {
            if (item.is_string())
                head.history.push_back(item.get<std::string>());
        }
    }
    return head;
}

std::string configPartKey(const std::string& hash, std::size_t part)
{
    return fmt::format("config/body/{}/{}", hash, part);
}

std::size_t configPartCount(std::size_t bytes)
{
    return std::max<std::size_t>(1, (bytes + configPartBytes - 1) / configPartBytes);
}

} // namespace ragwortwinch
