#include "ragwortwinch/config/gateway_settings.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

std::string settingsWith(const std::string& fields)
{
    return R"({"mode": "gateway", "node": "n1", "availability_zone": "z", "region": "r",
        "entry_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2", "directory_address": "127.0.0.1:3",
        "admin_address": "127.0.0.1:4", "peer_address": "127.0.0.1:5", "store_url": "http://127.0.0.1:6",
        "duty_url": "http://127.0.0.1:7", )"
        + fields + R"("regions": {"z": "r"}})";
}

// Returns the settings, or the text of the error.
std::pair<GatewaySettings, std::string> parse(const std::string& fields)
{
    return handleErrors(
        [&]() -> Result<std::pair<GatewaySettings, std::string>> {
            BOOST_LEAF_AUTO(settings, parseGatewaySettings(settingsWith(fields)));
            return std::pair<GatewaySettings, std::string>(settings, "");
        },
        [](const Error& error) { return std::pair<GatewaySettings, std::string>({}, error.message); });
}

TEST_CASE("the capacity of a VM is read from its settings, and unknown without them")
{
    auto [known, problem] = parse(R"("link_mbps": 200, "processor_share": 0.12, "processor_speed": 2,)");
    CHECK(problem.empty());
    CHECK(known.linkMbps == 200);
    CHECK(known.processorCores == doctest::Approx(0.24));
    CHECK(parse("").first.linkMbps == 0);
    CHECK(parse("").first.processorCores == 0);
}

TEST_CASE("the rule for the limits of teams is read, and allows no excess without its fields")
{
    auto [known, problem] = parse(R"("quota_window_s": 8.0, "quota_overshoot": 0.1, "quota_slack": 120000,)");
    CHECK(problem.empty());
    CHECK(known.quotaWindow == Millis(8000));
    CHECK(known.quotaOvershoot == 0.1);
    CHECK(known.quotaSlack == 120000);
    CHECK(parse("").first.quotaOvershoot == 0);
    CHECK(parse("").first.quotaSlack == 0);
    CHECK(parse(R"("quota_slack": -1,)").second.find("quota_slack") != std::string::npos);
}

TEST_CASE("an impossible capacity is rejected with the name of its field")
{
    CHECK(parse(R"("link_mbps": -1,)").second.find("link_mbps") != std::string::npos);
    CHECK(parse(R"("processor_share": "half",)").second.find("processor_share") != std::string::npos);
}

TEST_CASE("the memory and the descriptors of a VM are read from its settings, and unknown without them")
{
    auto [known, problem] = parse(R"("memory_mb": 120, "file_descriptors": 3075,)");
    CHECK(problem.empty());
    CHECK(known.memoryMegabytes == 120);
    CHECK(known.fileDescriptors == 3075);
    CHECK(parse("").first.memoryMegabytes == 0);
    CHECK(parse("").first.fileDescriptors == 0);
    CHECK(parse(R"("memory_mb": -1,)").second.find("memory_mb") != std::string::npos);
}

} // namespace
} // namespace ragwortwinch
