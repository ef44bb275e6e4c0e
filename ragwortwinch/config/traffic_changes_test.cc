// Checks that differences of two configurations are described completely and disclose no key.
#include "ragwortwinch/config/traffic_changes.h"

#include "ragwortwinch/base/digest.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

CheckedTraffic sample()
{
    CheckedTraffic traffic;
    traffic.config.version = 1;
    TrafficRoute route;
    route.name = "chat";
    route.host = "api";
    route.pathPrefix = "/chat/";
    route.timeout = Millis(2000);
    route.services = {{"model", 1}};
    traffic.config.routes = {route};
    ServiceRule service;
    service.name = "model";
    service.engine = EngineRule{};
    service.scaling = ScalingRule{1, 4, Millis(4000), 0.2, {{"a", 1.5}}};
    traffic.config.services = {service};
    traffic.config.teams = {{"riders", {"key-one", "key-two"}, std::nullopt}};
    traffic.limits = {TeamLimitEntry{10, 20, 0, false}};
    return traffic;
}

std::vector<std::string> messages(const CheckedTraffic& before, const CheckedTraffic& after)
{
    std::vector<std::string> texts;
    for (const ConfigChange& change : describeChanges(before, after))
        texts.push_back(change.message);
    return texts;
}

using Texts = std::vector<std::string>;

TEST_CASE("equal configurations have no difference, and a new version alone is none")
{
    CheckedTraffic after = sample();
    after.config.version = 2;
    CHECK(messages(sample(), after).empty());
}

TEST_CASE("an added and a removed entry are described")
{
    CheckedTraffic after = sample();
    TrafficRoute route = after.config.routes[0];
    route.name = "fast";
    route.pathPrefix = "/fast/";
    route.services = {{"model", 9}, {"other", 1}};
    after.config.routes.push_back(route);
    CHECK(
        messages(sample(), after) == Texts{"route `fast` is added: api/fast/ goes to model (9), other (1)"});
    CHECK(messages(after, sample()) == Texts{"route `fast` is removed"});
}

TEST_CASE("the order of entries is no difference, and a name that stands twice is compared one by one")
{
    CheckedTraffic before = sample();
    before.config.routes.push_back(before.config.routes[0]);
    before.config.routes[1].name = "other";
    CheckedTraffic after = before;
    std::swap(after.config.routes[0], after.config.routes[1]);
    CHECK(messages(before, after).empty());
    before.config.routes[1].name = "chat";
    CHECK(messages(before, sample()) == Texts{"route `chat` (2) is removed"});
}

TEST_CASE("a changed number rises or falls, another value changes")
{
    CheckedTraffic after = sample();
    after.config.routes[0].timeout = Millis(3000);
    after.config.routes[0].isOpen = true;
    after.config.services[0].scaling->maximumPerZone = 2;
    after.config.services[0].scaling->zonePrices["b"] = 2;
    after.config.limits.idleTimeout = Millis(1000);
    CHECK(messages(sample(), after)
        == Texts{
            "limits for callers: time for which an idle connection is kept falls from 15000 ms to 1000 ms",
            "route `chat`: timeout rises from 2000 ms to 3000 ms",
            "route `chat`: access without a key changes from no to yes",
            "service `model`: maximum of endpoints in a zone falls from 4 to 2",
            "service `model`: prices by zone changes from a 1.5 to a 1.5, b 2"});
}

TEST_CASE("a team's limit and its keys are compared")
{
    CheckedTraffic after = sample();
    after.limits[0]->perSecond = 15;
    after.config.teams[0].keys = {"key-two", "key-three", "key-four"};
    CHECK(messages(sample(), after)
        == Texts{"team `riders`: rate per second rises from 10 to 15", "team `riders`: 2 key(s) added",
            "team `riders`: 1 key(s) withdrawn"});
}

// VMs give out digests of keys; a file with the keys themselves must compare as equal.
TEST_CASE("a key equals its digest")
{
    CheckedTraffic before = sample();
    for (std::string& key : before.config.teams[0].keys)
        key = keyDigest(key);
    CHECK(before.config.teams[0].keys[0] == "sha256:" + sha256Hex("key-one"));
    CHECK(messages(before, sample()).empty());
}

} // namespace
} // namespace ragwortwinch
