#include "ragwortwinch/config/traffic_table.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

TrafficRoute route(const std::string& name, const std::string& host, const std::string& prefix)
{
    TrafficRoute value;
    value.name = name;
    value.host = host;
    value.pathPrefix = prefix;
    return value;
}

TrafficConfig sampleConfig()
{
    TrafficConfig config;
    config.version = 4;
    config.routes = {route("all", "api.example", "/"), route("chat", "api.example", "/chat/"),
        route("nested", "api.example", "/chat/fast/"), route("other", "b.example", "/x/")};
    config.teams = {{"riders", {"key-one", "key-two"}, std::nullopt}};
    return config;
}

TEST_CASE("a request takes the route of its host with the longest matching prefix")
{
    TrafficTable table(sampleConfig());
    CHECK(table.findRoute("api.example", "/chat/fast/1")->name == "nested");
    CHECK(table.findRoute("api.example", "/chat/1")->name == "chat");
    CHECK(table.findRoute("API.Example:8080", "/chats")->name == "all");
    CHECK(table.findRoute("b.example", "/chat/1") == nullptr);
    CHECK(table.findRoute("c.example", "/x/1") == nullptr);
}

TEST_CASE("a team is found by any of its keys, and plain-text keys are not kept")
{
    TrafficTable table(sampleConfig());
    CHECK(table.findTeam("key-two")->name == "riders");
    CHECK(table.findTeam("key-three") == nullptr);
    CHECK(table.findTeam("") == nullptr);
    CHECK(table.config().teams[0].keys.empty());
}

} // namespace
} // namespace ragwortwinch
