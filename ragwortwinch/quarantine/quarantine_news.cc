#include "ragwortwinch/quarantine/quarantine_news.h"

#include "ragwortwinch/base/json.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace ragwortwinch {

namespace {

// Ages and remaining times are clamped to this; larger ones could overflow sums with the clock.
constexpr std::int64_t maxMillis = 24 * 3600 * 1000;

Millis readMillis(const Json& value)
{
    return Millis(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, maxMillis));
}

TraitId readPart(const std::string& text)
{
    std::optional<TraitId> part = parsePartId(text);
    if (!part)
        throw std::out_of_range("not a part's id");
    return *part;
}

// Throws if the list or object has more than `maxNewsItems` members.
const Json& bounded(const Json& value)
{
    if (value.size() > maxNewsItems)
        throw std::out_of_range("too many items");
    return value;
}

Json crashToJson(const EndpointCrash& crash, Instant now)
{
    Json prompts = Json::array();
    for (const CrashedRequest& prompt : crash.requests) {
        Json parts = Json::array();
        for (TraitId part : prompt.traits)
            parts.push_back(partIdText(part));
        prompts.push_back({{"sent_ms_ago", (now - prompt.sentAt).count()}, {"parts", std::move(parts)}});
    }
    return {{"endpoint", crash.endpoint}, {"incarnation", crash.incarnation},
        {"lost_ms_ago", (now - crash.lostAt).count()}, {"prompts", std::move(prompts)}};
}

EndpointCrash crashFromJson(const Json& object, Instant now)
{
    EndpointCrash crash;
    crash.endpoint = object.at("endpoint").get<std::string>();
    crash.incarnation = object.at("incarnation").get<std::int64_t>();
    crash.lostAt = now - readMillis(object.at("lost_ms_ago"));
    for (const Json& item : bounded(object.at("prompts"))) {
        CrashedRequest prompt;
        prompt.sentAt = now - readMillis(item.at("sent_ms_ago"));
        for (const Json& part : bounded(item.at("parts")))
            prompt.traits.push_back(readPart(part.get<std::string>()));
        crash.requests.push_back(std::move(prompt));
    }
    return crash;
}

QuarantineNews newsFromJson(const Json& document, Instant now)
{
    QuarantineNews news;
    for (const Json& item : bounded(document.at("crashes")))
        news.crashes.push_back(crashFromJson(item, now));
    for (const auto& [part, age] : bounded(document.at("answered_ms_ago")).items())
        news.answeredAt[readPart(part)] = now - readMillis(age);
    for (const auto& [part, left] : bounded(document.at("quarantined_ms")).items())
        news.quarantinedUntil[readPart(part)] = now + readMillis(left);
    for (const Json& part : bounded(document.at("released")))
        news.released.insert(readPart(part.get<std::string>()));
    return news;
}

} // namespace

std::string partIdText(TraitId part) { return fmt::format("{:x}", part); }

std::optional<TraitId> parsePartId(std::string_view text)
{
    TraitId part = 0;
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), part, 16);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return part;
}

std::string encodeQuarantineNews(const QuarantineNews& news, Instant now)
{
    Json crashes = Json::array();
    for (const EndpointCrash& crash : news.crashes)
        crashes.push_back(crashToJson(crash, now));
    Json answered = Json::object();
    for (const auto& [part, at] : news.answeredAt)
        answered[partIdText(part)] = (now - at).count();
    Json quarantined = Json::object();
    for (const auto& [part, until] : news.quarantinedUntil)
        quarantined[partIdText(part)] = (until - now).count();
    Json released = Json::array();
    for (TraitId part : news.released)
        released.push_back(partIdText(part));
    return Json({{"crashes", std::move(crashes)}, {"answered_ms_ago", std::move(answered)},
                    {"quarantined_ms", std::move(quarantined)}, {"released", std::move(released)}})
        .dump();
}

std::optional<QuarantineNews> decodeQuarantineNews(std::string_view bytes, Instant now)
{
    Json document = parseJsonOrDiscard(bytes);
    if (!document.is_object())
        return std::nullopt;
    try {
        return newsFromJson(document, now);
    } catch (const Json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace ragwortwinch
