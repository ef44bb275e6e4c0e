#include "ragwortwinch/usage/usage_figures.h"

#include "ragwortwinch/base/byte_codec.h"

#include <algorithm>
#include <charconv>

namespace ragwortwinch {

UsageFigures& UsageFigures::operator+=(const UsageFigures& other)
{
    requests += other.requests;
    promptTokens += other.promptTokens;
    outputTokens += other.outputTokens;
    return *this;
}

UsageFigures& UsageFigures::operator-=(const UsageFigures& other)
{
    requests -= other.requests;
    promptTokens -= other.promptTokens;
    outputTokens -= other.outputTokens;
    return *this;
}

void mergeTotals(WindowUsage& totals, const WindowUsage& other)
{
    for (const auto& [window, teams] : other) {
        for (const auto& [team, figures] : teams) {
            UsageFigures& known = totals[window][team];
            known.requests = std::max(known.requests, figures.requests);
            known.promptTokens = std::max(known.promptTokens, figures.promptTokens);
            known.outputTokens = std::max(known.outputTokens, figures.outputTokens);
        }
    }
}

WindowUsage changedTotals(const WindowUsage& totals, const WindowUsage& former)
{
    WindowUsage changed;
    for (const auto& [window, teams] : totals) {
        auto formerWindow = former.find(window);
        for (const auto& [team, figures] : teams) {
            if (formerWindow != former.end()) {
                auto known = formerWindow->second.find(team);
                if (known != formerWindow->second.end() && known->second == figures)
                    continue;
            }
            changed[window][team] = figures;
        }
    }
    return changed;
}

std::string encodeTotals(const WindowUsage& totals)
{
    ByteWriter writer;
    for (const auto& [window, teams] : totals) {
        writer.integer(window);
        writer.count(static_cast<std::int64_t>(teams.size()));
        for (const auto& [team, figures] : teams) {
            writer.shortText(team);
            for (std::int64_t figure : {figures.requests, figures.promptTokens, figures.outputTokens})
                writer.count(figure);
        }
    }
    return writer.bytes();
}

std::optional<WindowUsage> decodeTotals(std::string_view bytes)
{
    WindowUsage totals;
    ByteReader reader(bytes);
    while (!reader.isAtEnd()) {
        TeamUsage& teams = totals[reader.integer<WindowId>()];
        std::int64_t count = reader.count();
        for (std::int64_t index = 0; index < count && reader.isValid(); ++index) {
            UsageFigures& figures = teams[std::string(reader.shortText())];
            for (std::int64_t* figure : {&figures.requests, &figures.promptTokens, &figures.outputTokens})
                *figure = reader.count();
        }
    }
    return reader.isValid() ? std::optional<WindowUsage>(std::move(totals)) : std::nullopt;
}

Json toJson(const TeamUsage& usage)
{
    Json object = Json::object();
    for (const auto& entry : usage)
        object[entry.first] = {entry.second.requests, entry.second.promptTokens, entry.second.outputTokens};
    return object;
}

Json toJson(const WindowUsage& usage)
{
    Json object = Json::object();
    for (const auto& entry : usage)
        object[std::to_string(entry.first)] = toJson(entry.second);
    return object;
}

TeamUsage teamUsageFromJson(const Json& object)
{
    TeamUsage usage;
    if (!object.is_object())
        return usage;
    for (const auto& member : object.items()) {
        const Json& list = member.value();
        if (list.is_array() && list.size() == 3)
            usage[member.key()]
                = {list[0].get<std::int64_t>(), list[1].get<std::int64_t>(), list[2].get<std::int64_t>()};
    }
    return usage;
}

WindowUsage windowUsageFromJson(const Json& object)
{
    WindowUsage usage;
    if (!object.is_object())
        return usage;
    for (const auto& member : object.items()) {
        WindowId window = 0;
        const std::string& key = member.key();
        if (std::from_chars(key.data(), key.data() + key.size(), window).ec == std::errc())
            usage[window] = teamUsageFromJson(member.value());
    }
    return usage;
}

} // namespace ragwortwinch
