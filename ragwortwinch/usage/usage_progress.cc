#include "ragwortwinch/usage/usage_progress.h"

#include <utility>

namespace ragwortwinch {

void UsageProgress::merge(const UsageProgress& other)
{
    bool knowsLaterWindow = other.window > window || (other.window == window && !other.figures);
    if (knowsLaterWindow) {
        window = other.window;
        figures = other.figures;
        carryOver = other.carryOver;
    }
    bool knowsLaterEpoch = std::pair(other.epoch, other.endedByEra) > std::pair(epoch, endedByEra);
    if (knowsLaterEpoch) {
        epoch = other.epoch;
        endedByEra = other.endedByEra;
    }
}

std::string UsageProgress::toJson() const
{
    Json text = {{"window", window}, {"epoch", epoch}};
    if (figures) {
        text["figures"] = ragwortwinch::toJson(*figures);
        text["carry_over"] = ragwortwinch::toJson(carryOver);
    }
    if (endedByEra)
        text["ended_by_era"] = *endedByEra;
    return text.dump();
}

std::optional<UsageProgress> parseUsageProgress(std::string_view text)
{
    Json document = parseJsonOrDiscard(text);
    auto isCount = [&document](const char* name) {
        return document.contains(name) && document[name].is_number_unsigned();
    };
    if (!document.is_object() || !isCount("window") || !isCount("epoch"))
        return std::nullopt;
    UsageProgress progress;
    progress.window = integerMember(document, "window");
    progress.epoch = document["epoch"].get<std::uint64_t>();
    try {
        if (document.contains("figures"))
            progress.figures = teamUsageFromJson(document["figures"]);
        progress.carryOver = teamUsageFromJson(document.value("carry_over", Json::object()));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    if (document.contains("ended_by_era")) {
        if (!isCount("ended_by_era"))
            return std::nullopt;
        progress.endedByEra = document["ended_by_era"].get<std::uint64_t>();
    }
    return progress;
}

} // namespace ragwortwinch
