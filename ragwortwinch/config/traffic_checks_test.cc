// Checks that each contradiction in a traffic configuration is found, at its place, and that a valid one has
// no finding.
#include "ragwortwinch/config/traffic_checks.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace ragwortwinch {
namespace {

using Limits = std::vector<std::optional<TeamLimitEntry>>;

// Places are given by their numbers, lines by their index.
class FakeLocator final : public ConfigLocator {
public:
    ConfigPosition locate(const ConfigPlace& place) const override
    {
        return {fmt::format("{}/{}/{}/{}", static_cast<int>(place.section), place.index,
                    static_cast<int>(place.field), place.element),
            static_cast<int>(place.index) + 1};
    }
};

std::string placeText(ConfigSection section, std::size_t index, ConfigField field, std::size_t element = 0)
{
    return FakeLocator().locate({section, index, field, element}).path;
}

TrafficRoute makeRoute(
    const std::string& name, const std::string& host, const std::string& prefix, const std::string& service)
{
    TrafficRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = Millis(2000);
    route.targetLatency = Millis(200);
    route.services = {{service, 1}};
    return route;
}

// Holds 2 x 3 x 2 = 12 requests at engines and 1,200 tokens, and 4 x 3 x 1 = 12 requests at plain endpoints.
TrafficConfig validConfig()
{
    TrafficConfig config;
    config.version = 3;
    config.routes = {makeRoute("chat", "api.example", "/chat/", "model"),
        makeRoute("desk", "api.example", "/desk/", "desk"),
        makeRoute("deep", "api.example", "/chat/deep/", "model")};
    ServiceRule model;
    model.name = "model";
    model.engine = EngineRule{2, 200, 1, Millis(0), Millis(0)};
    model.scaling = ScalingRule{1, 3, Millis(0), 0, {{"a", 1}, {"b", 1}}};
    ServiceRule desk;
    desk.name = "desk";
    desk.connectionLimit = 4;
    desk.scaling = ScalingRule{3, 3, Millis(0), 0, {{"a", 1}}};
    config.services = {model, desk};
    config.teams
        = {{"riders", {"key-one", "key-two"}, std::nullopt}, {"office", {"key-three"}, std::nullopt}};
    return config;
}

Limits validLimits() { return {TeamLimitEntry{100, 1200, 0, true}, TeamLimitEntry{}}; }

std::vector<ConfigFinding> check(const TrafficConfig& config, const Limits& limits = validLimits())
{
    return checkTraffic(config, limits, FakeLocator());
}

void requireOne(const std::vector<ConfigFinding>& findings, FindingCode code, const std::string& path)
{
    REQUIRE(findings.size() == 1);
    CHECK(findingCodeNames.name(findings[0].code) == findingCodeNames.name(code));
    CHECK(findings[0].path == path);
    CHECK(findings[0].line > 0);
    CHECK(findings[0].severity == FindingSeverity::Warning);
    CHECK_FALSE(findings[0].message.empty());
    CHECK_FALSE(findings[0].remedy.empty());
}

TEST_CASE("a log line shows what a finding says")
{
    LogEvent event("config.finding");
    addFinding(event,
        {FindingSeverity::Error, FindingCode::WrongType, "/version", 3, "it is a text", "write a number"});
    CHECK(event.line()
        == "event=config.finding code=wrong_type path=/version line=3 problem=\"it is a text\" "
           "remedy=\"write a number\"");
}

TEST_CASE("a valid configuration has no finding")
{
    CHECK(check(validConfig()).empty());
    CHECK(check(validConfig(), {std::nullopt, std::nullopt}).empty());
    CHECK(checkVersion(validConfig(), 2, FakeLocator()).empty());
}

TEST_CASE("a version that no VM adopts is found")
{
    TrafficConfig config = validConfig();
    config.version = 0;
    std::string place = placeText(ConfigSection::Document, 0, ConfigField::Version);
    requireOne(check(config), FindingCode::VersionZero, place);
    requireOne(checkVersion(validConfig(), 3, FakeLocator()), FindingCode::VersionNotNewer, place);
    requireOne(checkVersion(validConfig(), 4, FakeLocator()), FindingCode::VersionNotNewer, place);
}

TEST_CASE("a route with the host and prefix of an earlier one is hidden; a longer prefix isn't")
{
    TrafficConfig config = validConfig();
    config.routes.push_back(makeRoute("late", "API.Example:8080", "/chat/", "model"));
    std::vector<ConfigFinding> findings = check(config);
    requireOne(findings, FindingCode::HiddenRoute, placeText(ConfigSection::Routes, 3, ConfigField::Prefix));
    CHECK(findings[0].message == "route `late` never matches: route `chat` has the same host and prefix");
    config.routes.back().host = "b.example";
    CHECK(check(config).empty());
}

TEST_CASE("a prefix that paths don't begin with, or that cuts a segment, is found")
{
    for (const char* prefix : {"", "chat/", "/chat"}) {
        TrafficConfig config = validConfig();
        config.routes[0].pathPrefix = prefix;
        requireOne(check(config), FindingCode::UnmatchedPrefix,
            placeText(ConfigSection::Routes, 0, ConfigField::Prefix));
    }
}

TEST_CASE("a timeout that is missing or under a target is found")
{
    TrafficConfig config = validConfig();
    config.routes[1].timeout = Millis(0);
    requireOne(
        check(config), FindingCode::NoTimeout, placeText(ConfigSection::Routes, 1, ConfigField::Timeout));
    config.routes[1].timeout = Millis(199);
    requireOne(check(config), FindingCode::TimeoutUnderTarget,
        placeText(ConfigSection::Routes, 1, ConfigField::Timeout));
    config.routes[1].timeout = Millis(200);
    CHECK(check(config).empty());
    config.routes[1].targetGap = Millis(201);
    requireOne(check(config), FindingCode::TimeoutUnderTarget,
        placeText(ConfigSection::Routes, 1, ConfigField::TargetGap));
}

TEST_CASE("a route without a service that can get requests is found")
{
    TrafficConfig config = validConfig();
    config.routes[2].services[0].weight = 0;
    requireOne(
        check(config), FindingCode::NoService, placeText(ConfigSection::Routes, 2, ConfigField::Service));
    config.routes[2].services.clear();
    requireOne(
        check(config), FindingCode::NoService, placeText(ConfigSection::Routes, 2, ConfigField::Service));
}

TEST_CASE("a service that is named but not declared has no endpoint kind")
{
    TrafficConfig config = validConfig();
    config.routes[0].services.push_back({"modle", 1});
    requireOne(check(config), FindingCode::ServiceWithoutKind,
        placeText(ConfigSection::Routes, 0, ConfigField::Share, 1));
}

TEST_CASE("a service that no route names is found")
{
    TrafficConfig config = validConfig();
    config.services.push_back(ServiceRule{"spare", 1, std::nullopt, std::nullopt});
    requireOne(
        check(config), FindingCode::UnusedService, placeText(ConfigSection::Services, 2, ConfigField::Name));
}

TEST_CASE("a minimum of endpoints above the maximum is found")
{
    TrafficConfig config = validConfig();
    config.services[1].scaling->minimumPerZone = 4;
    requireOne(check(config), FindingCode::MinimumAboveMaximum,
        placeText(ConfigSection::Services, 1, ConfigField::ScalingMinimum));
}

TEST_CASE("a name that stands twice in its section is found")
{
    TrafficConfig config = validConfig();
    config.routes[2].name = "chat";
    requireOne(
        check(config), FindingCode::DuplicateName, placeText(ConfigSection::Routes, 2, ConfigField::Name));
    config = validConfig();
    config.services.push_back(config.services[1]);
    requireOne(
        check(config), FindingCode::DuplicateName, placeText(ConfigSection::Services, 2, ConfigField::Name));
    config = validConfig();
    config.teams[1].name = "riders";
    requireOne(
        check(config), FindingCode::DuplicateName, placeText(ConfigSection::Teams, 1, ConfigField::Name));
}

// Findings are logged, so a key in a message would be disclosed.
TEST_CASE("a key that two teams hold is found and not shown")
{
    TrafficConfig config = validConfig();
    config.teams[1].keys.push_back("key-two");
    std::vector<ConfigFinding> findings = check(config);
    requireOne(findings, FindingCode::SharedKey, placeText(ConfigSection::Teams, 1, ConfigField::Key, 1));
    CHECK(
        findings[0].message == "a key of team `office` also stands at team `riders`, where it has no effect");
    config = validConfig();
    config.teams[0].keys.push_back("key-one");
    findings = check(config);
    requireOne(findings, FindingCode::SharedKey, placeText(ConfigSection::Teams, 0, ConfigField::Key, 2));
    CHECK(findings[0].message == "team `riders` lists a key twice");
}

TEST_CASE("a burst under the cost of one request is found")
{
    std::string place = placeText(ConfigSection::Teams, 0, ConfigField::LimitBurst);
    requireOne(
        check(validConfig(), {TeamLimitEntry{5, 0.9, 0, false}}), FindingCode::BurstUnderRequest, place);
    requireOne(check(validConfig(), {TeamLimitEntry{5, 0, 0, true}}), FindingCode::BurstUnderRequest, place);
    requireOne(
        check(validConfig(), {TeamLimitEntry{5, 49, 50, true}}), FindingCode::BurstUnderRequest, place);
    CHECK(check(validConfig(), {TeamLimitEntry{5, 50, 50, true}}).empty());
    CHECK(check(validConfig(), {TeamLimitEntry{5, 1, 50, false}}).empty());
}

TEST_CASE("a limit that never refills is found")
{
    requireOne(check(validConfig(), {TeamLimitEntry{0, 5, 0, false}}), FindingCode::LimitNeverRefills,
        placeText(ConfigSection::Teams, 0, ConfigField::LimitRate));
}

TEST_CASE("a team's burst above what the services hold is found")
{
    std::string place = placeText(ConfigSection::Teams, 0, ConfigField::LimitBurst);
    CHECK(check(validConfig(), {TeamLimitEntry{5, 24, 0, false}}).empty());
    requireOne(
        check(validConfig(), {TeamLimitEntry{5, 25, 0, false}}), FindingCode::LimitAboveCapacity, place);
    requireOne(
        check(validConfig(), {TeamLimitEntry{5, 1201, 0, true}}), FindingCode::LimitAboveCapacity, place);
    // Plain requests hold tokens too: 12 x 10.
    CHECK(check(validConfig(), {TeamLimitEntry{5, 1320, 10, true}}).empty());
    requireOne(
        check(validConfig(), {TeamLimitEntry{5, 1321, 10, true}}), FindingCode::LimitAboveCapacity, place);
}

// The configuration doesn't bound such services, so no limit can be called too large.
TEST_CASE("a limit isn't compared with services of unknown capacity, or that need no key")
{
    Limits limits{TeamLimitEntry{5, 25, 0, false}};
    TrafficConfig config = validConfig();
    config.services[1].connectionLimit = 0;
    CHECK(check(config, limits).empty());
    config = validConfig();
    config.services[0].scaling.reset();
    CHECK(check(config, limits).empty());
    config = validConfig();
    for (TrafficRoute& route : config.routes)
        route.isOpen = true;
    CHECK(check(config, limits).empty());
}

} // namespace
} // namespace ragwortwinch
