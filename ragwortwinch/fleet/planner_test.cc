#include "ragwortwinch/fleet/endpoint_count_planner.h"
#include "ragwortwinch/fleet/role_planner.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

Instant at(int millis) { return Instant(Millis(500000 + millis)); }

EndpointRecord engine(
    const std::string& id, const std::string& zone, EngineRole role, bool isReclaimable = false)
{
    EndpointRecord record;
    record.id = id;
    record.service = "model";
    record.availabilityZone = zone;
    record.role = role;
    record.isReclaimable = isReclaimable;
    return record;
}

std::vector<ServiceRule> modelService(double spotPriceRatio)
{
    ServiceRule service;
    service.name = "model";
    service.scaling = ScalingRule{1, 6, Millis(4000), spotPriceRatio, {}};
    return {service};
}

std::vector<EndpointRecord> threeRegular()
{
    return {engine("a", "z", EngineRole::Decode), engine("b", "z", EngineRole::Decode),
        engine("c", "z", EngineRole::Prefill)};
}

TEST_CASE("reclaimable endpoints are ordered first, and regular ones are released once those serve")
{
    EndpointCountPlanner planner;
    std::vector<EndpointRecord> records = threeRegular();
    std::vector<EndpointCountOrder> orders = planner.tick(at(0), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].isReclaimable);
    // Both kinds together stay within the maximum.
    CHECK(orders[0].count == 3);
    CHECK(planner.tick(at(10), modelService(0.15), records).empty());
    planner.onResult(at(20), orders[0], SendOutcome::Applied);
    for (const char* id : {"d", "e", "f"})
        records.push_back(engine(id, "z", EngineRole::Prefill, true));
    orders = planner.tick(at(5000), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    CHECK_FALSE(orders[0].isReclaimable);
    CHECK(orders[0].count == 1);
    planner.onResult(at(5010), orders[0], SendOutcome::Applied);
    records.erase(records.begin(), records.begin() + 2);
    orders = planner.tick(at(12000), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].count == 5);
}

TEST_CASE("a changed count is ordered at once; only a repeated count waits for the endpoints already ordered")
{
    EndpointCountPlanner planner;
    std::vector<EndpointRecord> records = threeRegular();
    std::vector<EndpointCountOrder> orders = planner.tick(at(0), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    planner.onResult(at(10), orders[0], SendOutcome::Applied);
    // The endpoints are still missing, but the same count is ordered again only after a delay.
    CHECK(planner.tick(at(1000), modelService(0.15), records).empty());
    for (const char* id : {"d", "e", "f"})
        records.push_back(engine(id, "z", EngineRole::Prefill, true));
    orders = planner.tick(at(4500), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    planner.onResult(at(4510), orders[0], SendOutcome::Applied);
    // Two regular endpoints have left, so two more reclaimable ones fit.
    records.erase(records.begin(), records.begin() + 2);
    orders = planner.tick(at(4750), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].isReclaimable);
    CHECK(orders[0].count == 5);
}

TEST_CASE("a zone without its reclaimable endpoints gets regular ones until they are back")
{
    EndpointCountPlanner planner;
    std::vector<EndpointRecord> records{engine("a", "z", EngineRole::Decode)};
    std::vector<EndpointCountOrder> orders = planner.tick(at(0), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    planner.onResult(at(0), orders[0], SendOutcome::Refused);
    orders = planner.tick(at(500), modelService(0.15), records);
    REQUIRE(orders.size() == 1);
    CHECK_FALSE(orders[0].isReclaimable);
    CHECK(orders[0].count == 3);
    planner.onResult(at(500), orders[0], SendOutcome::Applied);
    for (const char* id : {"b", "c"})
        records.push_back(engine(id, "z", EngineRole::Decode));
    for (const char* id : {"d", "e", "f"})
        records.push_back(engine(id, "z", EngineRole::Prefill, true));
    orders = planner.tick(at(9000), modelService(0.15), records);
    bool isReleased = false;
    for (const EndpointCountOrder& order : orders)
        isReleased = isReleased || (!order.isReclaimable && order.count == 1);
    CHECK(isReleased);
}

TEST_CASE("reclaimable endpoints that are not cheap enough are not ordered")
{
    EndpointCountPlanner planner;
    CHECK(planner.tick(at(0), modelService(0.9), threeRegular()).empty());
    CHECK(planner.tick(at(0), modelService(0), threeRegular()).empty());
}

TEST_CASE("a refused order is retried after a delay, and regular endpoints are kept until then")
{
    EndpointCountPlanner planner;
    std::vector<EndpointCountOrder> orders = planner.tick(at(0), modelService(0.15), threeRegular());
    planner.onResult(at(10), orders[0], SendOutcome::Refused);
    CHECK(planner.tick(at(1000), modelService(0.15), threeRegular()).empty());
    orders = planner.tick(at(2100), modelService(0.15), threeRegular());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].isReclaimable);
}

TEST_CASE("in each zone half of the engines decode, those that can't be reclaimed first")
{
    RolePlanner planner;
    std::vector<EndpointRecord> records{engine("a", "z", EngineRole::Prefill),
        engine("b", "z", EngineRole::Decode, true), engine("c", "z", EngineRole::Decode, true)};
    std::vector<RoleOrder> orders = planner.tick(at(0), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].engine.id == "a");
    CHECK(orders[0].role == EngineRole::Decode);
    // A second change would exceed half of the zone's engines.
    CHECK(planner.tick(at(1000), records).empty());
    planner.onResult(at(1000), orders[0], SendOutcome::Applied);
    records[0].role = EngineRole::Decode;
    orders = planner.tick(at(6000), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].role == EngineRole::Prefill);
}

TEST_CASE("several engines that are not needed for decode change role together")
{
    RolePlanner planner;
    std::vector<EndpointRecord> records{engine("a", "z", EngineRole::Decode)};
    for (const char* id : {"b", "c", "d", "e", "f"})
        records.push_back(engine(id, "z", EngineRole::Decode, true));
    std::vector<RoleOrder> orders = planner.tick(at(0), records);
    CHECK(orders.size() == 3);
    for (const RoleOrder& order : orders)
        CHECK(order.role == EngineRole::Prefill);
}

TEST_CASE("a zone never loses its last decoder")
{
    RolePlanner planner;
    std::vector<EndpointRecord> records{
        engine("a", "z", EngineRole::Prefill), engine("b", "z", EngineRole::Decode, true)};
    std::vector<RoleOrder> orders = planner.tick(at(0), records);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].engine.id == "a");
    CHECK(planner.tick(at(0), {engine("only", "y", EngineRole::Decode, true)}).empty());
}

TEST_CASE("an engine gets no new order while an earlier one without an answer may still arrive")
{
    RolePlanner planner;
    std::vector<EndpointRecord> records{engine("a", "z", EngineRole::Prefill)};
    std::vector<RoleOrder> orders = planner.tick(at(0), records);
    planner.onResult(at(500), orders[0], SendOutcome::Unknown);
    CHECK(planner.tick(at(13000), records).empty());
    CHECK(planner.tick(at(13600), records).size() == 1);
}

} // namespace
} // namespace ragwortwinch
