#include "ragwortwinch/config/traffic_changes.h"

#include "ragwortwinch/base/digest.h"

#include <fmt/format.h>
#include <map>
#include <set>
#include <utility>

namespace ragwortwinch {

namespace {

// A property of an entry, as shown to operators.
struct Attribute {
    const char* name;
    std::string text;
    // Set if the value can rise or fall.
    std::optional<double> number;
};

struct Entry {
    // Complements the message that the entry was added.
    std::string summary;
    std::vector<Attribute> attributes;
    std::set<std::string> keyDigests;
};

// Entries by kind and name. A name that stands twice gets a number.
using EntryMap = std::map<std::string, Entry>;

Attribute numberAttribute(const char* name, double value, const char* unit = "")
{
    return {name, fmt::format("{}{}", value, unit), value};
}

Attribute millisAttribute(const char* name, Millis value)
{
    return numberAttribute(name, static_cast<double>(value.count()), " ms");
}

Attribute booleanAttribute(const char* name, bool value)
{
    return {name, value ? "yes" : "no", std::nullopt};
}

std::string sharesText(const std::vector<ServiceShare>& shares)
{
    std::string text;
    for (const ServiceShare& share : shares) {
        if (!text.empty())
            text += ", ";
        text += shares.size() == 1 ? share.service : fmt::format("{} ({})", share.service, share.weight);
    }
    return text.empty() ? "no service" : text;
}

std::string pricesText(const std::map<std::string, double>& prices)
{
    std::string text;
    for (const auto& [zone, price] : prices)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", zone, price);
    return text.empty() ? "none" : text;
}

Entry entryOf(const TrafficRoute& route)
{
    Entry entry;
    entry.summary = fmt::format("{}{} goes to {}", route.host, route.pathPrefix, sharesText(route.services));
    entry.attributes = {
        {"host", route.host, std::nullopt},
        {"path prefix", route.pathPrefix, std::nullopt},
        {"kind", std::string(routeKindNames.name(route.kind)), std::nullopt},
        millisAttribute("timeout", route.timeout),
        millisAttribute("target latency", route.targetLatency),
        millisAttribute("target gap between events", route.targetGap),
        numberAttribute("priority number", route.priority),
        numberAttribute("greatest number of endpoints for one request", route.maxEndpoints),
        booleanAttribute("access without a key", route.isOpen),
        booleanAttribute("prompt cache", route.hasPromptCache),
        booleanAttribute("resumption of streams", route.isResumable),
        {"destination", sharesText(route.services), std::nullopt},
    };
    return entry;
}

Entry entryOf(const ServiceRule& service)
{
    Entry entry;
    entry.summary = service.engine ? "runs on engines" : "is a plain service";
    entry.attributes = {
        {"kind", service.engine ? "engine" : "plain service", std::nullopt},
        numberAttribute("connection limit of an endpoint", static_cast<double>(service.connectionLimit)),
    };
    EngineRule engine = service.engine.value_or(EngineRule{});
    entry.attributes.push_back(numberAttribute("slots of an engine", static_cast<double>(engine.slots)));
    entry.attributes.push_back(
        numberAttribute("KV cache of an engine", static_cast<double>(engine.cacheTokens), " tokens"));
    entry.attributes.push_back(
        numberAttribute("KV cache of a token", static_cast<double>(engine.bytesPerToken), " bytes"));
    entry.attributes.push_back(millisAttribute("time of a role change", engine.roleChangeTime));
    entry.attributes.push_back(
        millisAttribute("time for which a prefilled prompt is kept", engine.handleTtl));
    entry.attributes.push_back(booleanAttribute("ordering of endpoints", service.scaling.has_value()));
    ScalingRule scaling = service.scaling.value_or(ScalingRule{});
    entry.attributes.push_back(
        numberAttribute("minimum of endpoints in a zone", static_cast<double>(scaling.minimumPerZone)));
    entry.attributes.push_back(
        numberAttribute("maximum of endpoints in a zone", static_cast<double>(scaling.maximumPerZone)));
    entry.attributes.push_back(millisAttribute("boot time", scaling.bootTime));
    entry.attributes.push_back(
        numberAttribute("price ratio of reclaimable endpoints", scaling.spotPriceRatio));
    entry.attributes.push_back({"prices by zone", pricesText(scaling.zonePrices), std::nullopt});
    return entry;
}

Entry entryOf(const TrafficTeam& team, const std::optional<TeamLimitEntry>& limit)
{
    Entry entry;
    for (const std::string& key : team.keys)
        entry.keyDigests.insert(keyDigest(key));
    TeamLimitEntry known = limit.value_or(TeamLimitEntry{});
    const char* unit = known.countsTokens ? " tokens" : " requests";
    entry.summary = fmt::format("{} key(s), {}", entry.keyDigests.size(),
        known.isLimited() ? fmt::format("{}{} per second, burst {}", known.perSecond, unit, known.burst)
                          : std::string("no limit"));
    entry.attributes = {
        {"priority number", team.priority ? std::to_string(*team.priority) : "that of the route",
            std::nullopt},
        booleanAttribute("limit", known.isLimited()),
        {"unit of the limit", known.countsTokens ? "tokens" : "requests", std::nullopt},
        numberAttribute("rate per second", known.perSecond),
        numberAttribute("burst", known.burst),
        numberAttribute("cost of a request without token counts", known.plainTokens),
    };
    return entry;
}

Entry entryOf(const CallerLimits& limits)
{
    Entry entry;
    entry.attributes = {
        numberAttribute("greatest header", limits.maxHeaderBytes, " bytes"),
        numberAttribute("greatest body", static_cast<double>(limits.maxBodyBytes), " bytes"),
        millisAttribute("time to send the header", limits.headerTimeout),
        millisAttribute("time for which an idle connection is kept", limits.idleTimeout),
    };
    return entry;
}

void addEntry(EntryMap& entries, const char* kind, const std::string& name, Entry entry)
{
    std::string label = fmt::format("{} `{}`", kind, name);
    std::string unique = label;
    for (int number = 2; entries.contains(unique); ++number)
        unique = fmt::format("{} ({})", label, number);
    entries.emplace(std::move(unique), std::move(entry));
}

EntryMap entriesOf(const CheckedTraffic& traffic)
{
    EntryMap entries;
    for (const TrafficRoute& route : traffic.config.routes)
        addEntry(entries, "route", route.name, entryOf(route));
    for (const ServiceRule& service : traffic.config.services)
        addEntry(entries, "service", service.name, entryOf(service));
    for (std::size_t index = 0; index < traffic.config.teams.size(); ++index) {
        const TrafficTeam& team = traffic.config.teams[index];
        addEntry(entries, "team", team.name,
            entryOf(team, index < traffic.limits.size() ? traffic.limits[index] : std::nullopt));
    }
    entries.emplace("limits for callers", entryOf(traffic.config.limits));
    return entries;
}

std::size_t countMissing(const std::set<std::string>& from, const std::set<std::string>& in)
{
    std::size_t count = 0;
    for (const std::string& value : from)
        count += in.contains(value) ? 0 : 1;
    return count;
}

void compareEntries(
    const std::string& label, const Entry& before, const Entry& after, std::vector<ConfigChange>& changes)
{
    // Entries of one kind have the same attributes.
    for (std::size_t index = 0; index < before.attributes.size(); ++index) {
        const Attribute& old = before.attributes[index];
        const Attribute& now = after.attributes[index];
        if (old.text == now.text)
            continue;
        const char* verb = !old.number || !now.number ? "changes"
            : *now.number > *old.number               ? "rises"
                                                      : "falls";
        changes.push_back({ChangeKind::Changed, label,
            fmt::format("{}: {} {} from {} to {}", label, old.name, verb, old.text, now.text)});
    }
    if (std::size_t added = countMissing(after.keyDigests, before.keyDigests))
        changes.push_back({ChangeKind::Changed, label, fmt::format("{}: {} key(s) added", label, added)});
    if (std::size_t withdrawn = countMissing(before.keyDigests, after.keyDigests))
        changes.push_back(
            {ChangeKind::Changed, label, fmt::format("{}: {} key(s) withdrawn", label, withdrawn)});
}

} // namespace

std::string keyDigest(const std::string& key)
{
    return key.starts_with(digestPrefix) ? key : digestPrefix + sha256Hex(key);
}

std::vector<ConfigChange> describeChanges(const CheckedTraffic& before, const CheckedTraffic& after)
{
    EntryMap oldEntries = entriesOf(before);
    EntryMap newEntries = entriesOf(after);
    std::vector<ConfigChange> changes;
    for (const auto& [label, entry] : oldEntries) {
        if (!newEntries.contains(label))
            changes.push_back({ChangeKind::Removed, label, fmt::format("{} is removed", label)});
    }
    for (const auto& [label, entry] : newEntries) {
        auto old = oldEntries.find(label);
        if (old == oldEntries.end())
            changes.push_back(
                {ChangeKind::Added, label, fmt::format("{} is added: {}", label, entry.summary)});
        else
            compareEntries(label, old->second, entry, changes);
    }
    return changes;
}

} // namespace ragwortwinch
