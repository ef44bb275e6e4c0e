#include "ragwortwinch/membership/peer_load.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

constexpr Millis reportTtl{2000};

Instant at(std::int64_t millis) { return Instant(Millis(millis)); }

EndpointLoad loadOf(const std::string& endpoint, std::int64_t running)
{
    return {endpoint, running, running * 3, running * 1000, running * 10};
}

TEST_CASE("a report replaces the former one of its peer, and endpoints without load are absent")
{
    PeerLoad load(reportTtl);
    load.onReport(at(0), "a", {loadOf("e1", 2), loadOf("e2", 1)});
    load.onReport(at(0), "b", {loadOf("e1", 5)});
    CHECK(load.takeChanged());
    CHECK_FALSE(load.takeChanged());
    CHECK(load.sums().at("e1") == loadOf("e1", 7));
    load.onReport(at(100), "a", {loadOf("e1", 1)});
    CHECK(load.sums().at("e1") == loadOf("e1", 6));
    CHECK_FALSE(load.sums().contains("e2"));
    load.onReport(at(200), "a", {loadOf("e1", 1)});
    CHECK(load.takeChanged());
    load.onReport(at(300), "a", {loadOf("e1", 1)});
    CHECK_FALSE(load.takeChanged());
}

TEST_CASE("the load of a silent peer expires")
{
    PeerLoad load(reportTtl);
    load.onReport(at(0), "a", {loadOf("e1", 2)});
    load.onReport(at(1000), "b", {loadOf("e1", 5)});
    load.expire(at(2000));
    CHECK(load.sums().at("e1") == loadOf("e1", 7));
    load.expire(at(2001));
    CHECK(load.sums().at("e1") == loadOf("e1", 5));
    load.expire(at(3001));
    CHECK(load.sums().empty());
}

TEST_CASE("the sums equal those of the peers' latest reports, for any order of reports and silences")
{
    constexpr std::size_t peers = 200;
    std::mt19937_64 random(7);
    PeerLoad load(reportTtl);
    struct Latest {
        Instant at;
        std::vector<EndpointLoad> loads;
    };
    std::map<std::string, Latest> latest;
    for (std::int64_t now = 0; now < 20000; now += 5) {
        std::string peer = "vm" + std::to_string(random() % peers);
        std::vector<EndpointLoad> loads;
        for (std::size_t endpoint = 0; endpoint < 31; ++endpoint) {
            std::int64_t running = static_cast<std::int64_t>(random() % 4);
            if (running > 0)
                loads.push_back(loadOf("e" + std::to_string(endpoint), running));
        }
        load.onReport(at(now), peer, loads);
        latest[peer] = {at(now), loads};
        if (now % 500 != 0)
            continue;
        load.expire(at(now));
        std::map<std::string, std::int64_t> running;
        for (const auto& [name, report] : latest) {
            if (at(now) - report.at > reportTtl)
                continue;
            for (const EndpointLoad& entry : report.loads)
                running[entry.endpoint] += entry.running;
        }
        REQUIRE(running.size() == load.sums().size());
        for (const auto& [endpoint, count] : running)
            REQUIRE(load.sums().at(endpoint) == loadOf(endpoint, count));
    }
}

} // namespace
} // namespace ragwortwinch
