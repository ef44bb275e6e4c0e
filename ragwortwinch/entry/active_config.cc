#include "ragwortwinch/entry/active_config.h"

#include <algorithm>

namespace ragwortwinch {

namespace {

bool matches(const RouteRule& route, std::string_view path)
{
    if (route.path == path)
        return true;
    if (!route.path.ends_with('/'))
        return false;
    std::string_view withoutSlash = std::string_view(route.path).substr(0, route.path.size() - 1);
    return path.starts_with(route.path) || path == withoutSlash;
}

} // namespace

const RouteRule* ActiveConfig::findRoute(std::string_view path) const
{
    const RouteRule* best = nullptr;
    for (const RouteRule& route : rules->routes) {
        if (matches(route, path) && (!best || route.path.size() > best->path.size()))
            best = &route;
    }
    return best;
}

bool ActiveConfig::hasModel(std::string_view model) const
{
    return std::any_of(
        rules->endpoints.begin(), rules->endpoints.end(), [model](const EndpointRule& endpoint) {
            return endpoint.kind == EndpointKind::Engine && endpoint.service == model;
        });
}

} // namespace ragwortwinch
