// Looks up the route, team and service of a request in a traffic configuration.
//
//     TrafficTable table(std::move(config));
//     const TrafficRoute* route = table.findRoute("api.example", "/chat/1");
//     const TrafficTeam* team = table.findTeam(key);
//
// Immutable, so safe to share between threads.
#pragma once

#include "ragwortwinch/config/traffic_config.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortwinch {

// Returns the host in lower case and without its port, as routes are compared by it.
std::string normalizedHost(std::string_view host);

class TrafficTable {
public:
    explicit TrafficTable(TrafficConfig config);
    TrafficTable(const TrafficTable&) = delete;
    TrafficTable& operator=(const TrafficTable&) = delete;

    // Returns the host's route with the longest prefix of `path`, or null. A port in `host` is ignored.
    const TrafficRoute* findRoute(std::string_view host, std::string_view path) const;
    // Returns the team that owns `key`, or null. Compares hashes of keys only.
    const TrafficTeam* findTeam(std::string_view key) const;
    // Returns the service called `name`, or null.
    const ServiceRule* findService(const std::string& name) const;

    const TrafficConfig& config() const { return config_; }
    std::uint64_t version() const { return config_.version; }
    // Without teams, no request needs a key.
    bool hasTeams() const { return !config_.teams.empty(); }

private:
    TrafficConfig config_;
    // By host in lower case; longest prefix first.
    std::unordered_map<std::string, std::vector<const TrafficRoute*>> routes_;
    // By the SHA-256 of each key.
    std::unordered_map<std::string, const TrafficTeam*> teams_;
    std::unordered_map<std::string, const ServiceRule*> services_;
};

} // namespace ragwortwinch
