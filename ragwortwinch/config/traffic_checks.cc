#include "ragwortwinch/config/traffic_checks.h"

#include "ragwortwinch/config/traffic_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace ragwortwinch {

namespace {

// What services hold at one moment with the greatest number of endpoints. A number is nullopt if the
// configuration doesn't limit it.
struct Capacity {
    std::optional<double> requests = 0;
    // Tokens in the KV caches of engines.
    std::optional<double> tokens = 0;
    // The part of `requests` at plain services.
    std::optional<double> plainRequests = 0;

    // Returns the capacity in the unit of `limit`.
    std::optional<double> inUnitOf(const TeamLimitEntry& limit) const
    {
        if (!limit.countsTokens)
            return requests;
        if (!tokens || limit.plainTokens <= 0)
            return tokens;
        if (!plainRequests)
            return std::nullopt;
        return *tokens + *plainRequests * limit.plainTokens;
    }
};

std::optional<double> sumOf(std::optional<double> left, std::optional<double> right)
{
    return left && right ? std::optional<double>(*left + *right) : std::nullopt;
}

// Returns `endpoints * perEndpoint`, or nullopt if one of them is unknown or 0, which means no limit.
std::optional<double> productOf(std::optional<double> endpoints, std::int64_t perEndpoint)
{
    if (!endpoints || perEndpoint <= 0)
        return std::nullopt;
    return *endpoints * static_cast<double>(perEndpoint);
}

void addService(Capacity& total, const ServiceRule& service)
{
    std::optional<double> endpoints;
    if (service.scaling && service.scaling->maximumPerZone > 0 && !service.scaling->zonePrices.empty())
        endpoints = static_cast<double>(service.scaling->maximumPerZone)
            * static_cast<double>(service.scaling->zonePrices.size());
    if (service.engine) {
        total.requests = sumOf(total.requests, productOf(endpoints, service.engine->slots));
        total.tokens = sumOf(total.tokens, productOf(endpoints, service.engine->cacheTokens));
        return;
    }
    std::optional<double> requests = productOf(endpoints, service.connectionLimit);
    total.requests = sumOf(total.requests, requests);
    total.plainRequests = sumOf(total.plainRequests, requests);
}

class TrafficChecker {
public:
    TrafficChecker(const TrafficConfig& config, const std::vector<std::optional<TeamLimitEntry>>& limits,
        const ConfigLocator& locator)
        : config_(config)
        , limits_(limits)
        , locator_(locator)
    {
    }

    std::vector<ConfigFinding> run()
    {
        if (config_.version == 0)
            add(FindingCode::VersionZero, {ConfigSection::Document, 0, ConfigField::Version},
                "version 0 means that no configuration is known, so no VM adopts it",
                "give a version above that in force");
        checkNames();
        checkRoutes();
        checkServices();
        checkKeys();
        checkLimits();
        return std::move(findings_);
    }

private:
    void add(FindingCode code, const ConfigPlace& place, std::string message, std::string remedy)
    {
        ConfigPosition position = locator_.locate(place);
        findings_.push_back({FindingSeverity::Warning, code, std::move(position.path), position.line,
            std::move(message), std::move(remedy)});
    }

    template <typename Entry>
    void checkNamesOf(const std::vector<Entry>& entries, ConfigSection section, const char* kind)
    {
        std::set<std::string_view> names;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            if (!names.insert(entries[index].name).second)
                add(FindingCode::DuplicateName, {section, index, ConfigField::Name},
                    fmt::format("{} `{}` stands twice", kind, entries[index].name), "remove or rename one");
        }
    }

    void checkNames()
    {
        checkNamesOf(config_.routes, ConfigSection::Routes, "route");
        checkNamesOf(config_.services, ConfigSection::Services, "service");
        checkNamesOf(config_.teams, ConfigSection::Teams, "team");
    }

    void checkRoutes()
    {
        std::set<std::string_view> services;
        for (const ServiceRule& service : config_.services)
            services.insert(service.name);
        // The first route with each host and prefix; `TrafficTable` takes that one.
        std::map<std::pair<std::string, std::string_view>, std::string_view> firstRoutes;
        for (std::size_t index = 0; index < config_.routes.size(); ++index) {
            const TrafficRoute& route = config_.routes[index];
            auto [first, isFirst]
                = firstRoutes.try_emplace({normalizedHost(route.host), route.pathPrefix}, route.name);
            if (!isFirst)
                add(FindingCode::HiddenRoute, {ConfigSection::Routes, index, ConfigField::Prefix},
                    fmt::format("route `{}` never matches: route `{}` has the same host and prefix",
                        route.name, first->second),
                    "change the host or prefix of one of them, or remove one");
            checkPrefix(index, route);
            checkTimes(index, route);
            checkShares(index, route, services);
        }
    }

    void checkPrefix(std::size_t index, const TrafficRoute& route)
    {
        ConfigPlace place{ConfigSection::Routes, index, ConfigField::Prefix};
        if (!route.pathPrefix.starts_with('/'))
            add(FindingCode::UnmatchedPrefix, place,
                fmt::format("route `{}` never matches: its prefix doesn't begin with a slash, as paths do",
                    route.name),
                "begin the prefix with /");
        else if (!route.pathPrefix.ends_with('/'))
            add(FindingCode::UnmatchedPrefix, place,
                fmt::format(
                    "the prefix of route `{}` doesn't end with a slash, so it also matches paths that "
                    "go on with other characters",
                    route.name),
                "end the prefix with /");
    }

    void checkTimes(std::size_t index, const TrafficRoute& route)
    {
        ConfigPlace timeout{ConfigSection::Routes, index, ConfigField::Timeout};
        if (route.timeout == Millis(0)) {
            add(FindingCode::NoTimeout, timeout,
                fmt::format("route `{}` has a timeout of 0, so its requests have no time to run", route.name),
                "give the longest time that a caller may wait");
            return;
        }
        if (route.timeout < route.targetLatency)
            add(FindingCode::TimeoutUnderTarget, timeout,
                fmt::format("route `{}` times out after {} ms, before its target latency of {} ms",
                    route.name, route.timeout.count(), route.targetLatency.count()),
                "raise the timeout or lower the target");
        if (route.timeout < route.targetGap)
            add(FindingCode::TimeoutUnderTarget, {ConfigSection::Routes, index, ConfigField::TargetGap},
                fmt::format("route `{}` times out after {} ms, before its target of {} ms between events",
                    route.name, route.timeout.count(), route.targetGap.count()),
                "raise the timeout or lower the target");
    }

    void checkShares(std::size_t index, const TrafficRoute& route, const std::set<std::string_view>& services)
    {
        bool hasWeight = false;
        for (std::size_t share = 0; share < route.services.size(); ++share) {
            hasWeight |= route.services[share].weight > 0;
            if (!services.contains(route.services[share].service))
                add(FindingCode::ServiceWithoutKind,
                    {ConfigSection::Routes, index, ConfigField::Share, share},
                    fmt::format("route `{}` names service `{}`, which isn't declared: nothing says what kind "
                                "of endpoints it has",
                        route.name, route.services[share].service),
                    "declare the service or correct the name");
        }
        if (!hasWeight)
            add(FindingCode::NoService, {ConfigSection::Routes, index, ConfigField::Service},
                fmt::format("route `{}` has no service with a weight above 0", route.name),
                "name a service, or give one a weight above 0");
    }

    void checkServices()
    {
        std::set<std::string_view> used;
        for (const TrafficRoute& route : config_.routes) {
            for (const ServiceShare& share : route.services)
                used.insert(share.service);
        }
        for (std::size_t index = 0; index < config_.services.size(); ++index) {
            const ServiceRule& service = config_.services[index];
            if (!used.contains(service.name))
                add(FindingCode::UnusedService, {ConfigSection::Services, index, ConfigField::Name},
                    fmt::format("service `{}` gets no requests: no route names it", service.name),
                    "name it in a route, or remove it");
            if (service.scaling && service.scaling->minimumPerZone > service.scaling->maximumPerZone)
                add(FindingCode::MinimumAboveMaximum,
                    {ConfigSection::Services, index, ConfigField::ScalingMinimum},
                    fmt::format(
                        "service `{}` has a minimum of {} endpoints in a zone, above its maximum of {}",
                        service.name, service.scaling->minimumPerZone, service.scaling->maximumPerZone),
                    "lower the minimum or raise the maximum");
        }
    }

    void checkKeys()
    {
        std::unordered_map<std::string_view, std::size_t> holders;
        for (std::size_t index = 0; index < config_.teams.size(); ++index) {
            const TrafficTeam& team = config_.teams[index];
            for (std::size_t key = 0; key < team.keys.size(); ++key) {
                auto [holder, isFirst] = holders.try_emplace(team.keys[key], index);
                if (isFirst)
                    continue;
                // `TrafficTable` gives the key to the last team that lists it.
                std::string message = holder->second == index
                    ? fmt::format("team `{}` lists a key twice", team.name)
                    : fmt::format("a key of team `{}` also stands at team `{}`, where it has no effect",
                        team.name, config_.teams[holder->second].name);
                add(FindingCode::SharedKey, {ConfigSection::Teams, index, ConfigField::Key, key},
                    std::move(message), "remove the key from one of them");
                holder->second = index;
            }
        }
    }

    void checkLimits()
    {
        std::optional<Capacity> total = reachableCapacity();
        for (std::size_t index = 0; index < std::min(limits_.size(), config_.teams.size()); ++index) {
            if (!limits_[index] || !limits_[index]->isLimited())
                continue;
            const TeamLimitEntry& limit = *limits_[index];
            const std::string& team = config_.teams[index].name;
            ConfigPlace burst{ConfigSection::Teams, index, ConfigField::LimitBurst};
            double oneRequest = limit.countsTokens ? std::max(1.0, limit.plainTokens) : 1.0;
            if (limit.burst < oneRequest)
                add(FindingCode::BurstUnderRequest, burst,
                    fmt::format("team `{}` has a burst of {}, under the cost of one request ({})", team,
                        limit.burst, oneRequest),
                    "raise the burst");
            if (limit.perSecond <= 0)
                add(FindingCode::LimitNeverRefills, {ConfigSection::Teams, index, ConfigField::LimitRate},
                    fmt::format("team `{}` has a burst but a rate of 0, so it has no limit", team),
                    "give a rate, or remove the burst");
            std::optional<double> capacity = total ? total->inUnitOf(limit) : std::nullopt;
            if (capacity && limit.burst > *capacity)
                add(FindingCode::LimitAboveCapacity, burst,
                    fmt::format("team `{}` may send {} {} at once, but all services with keys together hold "
                                "{} with the greatest number of endpoints",
                        team, limit.burst, limit.countsTokens ? "tokens" : "requests", *capacity),
                    "lower the burst, or raise the services' maximum");
        }
    }

    // Returns what all services together hold that a team with a key can reach; nullopt if there is none, or
    // one that isn't declared.
    std::optional<Capacity> reachableCapacity() const
    {
        std::map<std::string_view, const ServiceRule*> services;
        for (const ServiceRule& service : config_.services)
            services[service.name] = &service;
        std::set<const ServiceRule*> reachable;
        for (const TrafficRoute& route : config_.routes) {
            if (route.isOpen)
                continue;
            for (const ServiceShare& share : route.services) {
                auto found = services.find(share.service);
                if (found == services.end())
                    return std::nullopt;
                reachable.insert(found->second);
            }
        }
        if (reachable.empty())
            return std::nullopt;
        Capacity total;
        for (const ServiceRule* service : reachable)
            addService(total, *service);
        return total;
    }

    const TrafficConfig& config_;
    const std::vector<std::optional<TeamLimitEntry>>& limits_;
    const ConfigLocator& locator_;
    std::vector<ConfigFinding> findings_;
};

} // namespace

std::vector<ConfigFinding> checkTraffic(const TrafficConfig& config,
    const std::vector<std::optional<TeamLimitEntry>>& limits, const ConfigLocator& locator)
{
    return TrafficChecker(config, limits, locator).run();
}

std::vector<ConfigFinding> checkVersion(
    const TrafficConfig& config, std::uint64_t inForce, const ConfigLocator& locator)
{
    if (config.version > inForce)
        return {};
    ConfigPosition position = locator.locate({ConfigSection::Document, 0, ConfigField::Version});
    return {{FindingSeverity::Warning, FindingCode::VersionNotNewer, position.path, position.line,
        fmt::format("version {} isn't above version {}, so VMs that have that one don't adopt it",
            config.version, inForce),
        "raise the version"}};
}

} // namespace ragwortwinch
