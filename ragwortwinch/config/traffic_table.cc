#include "ragwortwinch/config/traffic_table.h"

#include "ragwortwinch/base/digest.h"

#include <algorithm>

namespace ragwortwinch {

std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    for (char& character : text) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return text;
}

TrafficTable::TrafficTable(TrafficConfig config)
    : config_(std::move(config))
{
    for (const TrafficRoute& route : config_.routes)
        routes_[normalizedHost(route.host)].push_back(&route);
    for (auto& [host, routes] : routes_) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const TrafficRoute* left, const TrafficRoute* right) {
                return left->pathPrefix.size() > right->pathPrefix.size();
            });
    }
    for (TrafficTeam& team : config_.teams) {
        for (const std::string& key : team.keys)
            teams_[sha256Hex(key)] = &team;
        // Only the hashes are needed from here on.
        team.keys.clear();
    }
    for (const ServiceRule& service : config_.services)
        services_[service.name] = &service;
}

const TrafficRoute* TrafficTable::findRoute(std::string_view host, std::string_view path) const
{
    auto found = routes_.find(normalizedHost(host));
    if (found == routes_.end())
        return nullptr;
    for (const TrafficRoute* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const TrafficTeam* TrafficTable::findTeam(std::string_view key) const
{
    auto found = teams_.find(sha256Hex(key));
    return found == teams_.end() ? nullptr : found->second;
}

const ServiceRule* TrafficTable::findService(const std::string& name) const
{
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace ragwortwinch
