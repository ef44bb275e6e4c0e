#include "ragwortwinch/usage/closed_window.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/usage/usage_flusher.h"

namespace ragwortwinch {

namespace {

UsageFigures alreadyIncluded(
    const ClosedWindow& previous, const std::string& contributor, WindowId window, const std::string& team)
{
    auto windows = previous.included.find(contributor);
    if (windows == previous.included.end())
        return {};
    auto teams = windows->second.find(window);
    if (teams == windows->second.end())
        return {};
    auto figures = teams->second.find(team);
    return figures == teams->second.end() ? UsageFigures{} : figures->second;
}

void removeOldWindows(ClosedWindow& closed)
{
    for (auto entry = closed.included.begin(); entry != closed.included.end();) {
        WindowUsage& windows = entry->second;
        windows.erase(windows.begin(), windows.lower_bound(closed.window - retainedWindows + 1));
        entry = windows.empty() ? closed.included.erase(entry) : std::next(entry);
    }
}

} // namespace

std::string ClosedWindow::toJson() const
{
    Json contributors = Json::object();
    for (const auto& entry : included)
        contributors[entry.first] = ragwortwinch::toJson(entry.second);
    return Json({{"window", window}, {"figures", ragwortwinch::toJson(figures)},
                    {"carry_over", ragwortwinch::toJson(carryOver)}, {"included", contributors}})
        .dump();
}

std::string ClosedWindow::reportBody(const std::string& shard) const
{
    return Json({{"shard", shard}, {"window", window}, {"figures", ragwortwinch::toJson(figures)},
                    {"carry_over", ragwortwinch::toJson(carryOver)}})
        .dump();
}

std::optional<ClosedWindow> parseClosedWindow(std::string_view text)
{
    Json document = parseJsonOrDiscard(text);
    if (!document.is_object() || !document.contains("window"))
        return std::nullopt;
    ClosedWindow closed;
    closed.window = integerMember(document, "window");
    closed.figures = teamUsageFromJson(document.value("figures", Json::object()));
    closed.carryOver = teamUsageFromJson(document.value("carry_over", Json::object()));
    const Json included = document.value("included", Json::object());
    for (const auto& member : included.items())
        closed.included[member.key()] = windowUsageFromJson(member.value());
    return closed;
}

ClosedWindow closeWindow(
    WindowId window, const ClosedWindow& previous, const std::map<std::string, WindowUsage>& totals)
{
    ClosedWindow closed;
    closed.window = window;
    closed.included = previous.included;
    for (const auto& contributor : totals) {
        for (const auto& entry : contributor.second) {
            bool isOutOfRange = entry.first > window || entry.first <= window - retainedWindows;
            if (isOutOfRange)
                continue;
            for (const auto& team : entry.second) {
                UsageFigures added = team.second;
                added -= alreadyIncluded(previous, contributor.first, entry.first, team.first);
                checkInvariant(added.requests >= 0 && added.promptTokens >= 0 && added.outputTokens >= 0,
                    "usage.totals_never_shrink");
                if (added.isZero())
                    continue;
                TeamUsage& target = entry.first == window ? closed.figures : closed.carryOver;
                target[team.first] += added;
                closed.included[contributor.first][entry.first][team.first] = team.second;
            }
        }
    }
    removeOldWindows(closed);
    return closed;
}

} // namespace ragwortwinch
