#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/membership/peer_message.h"
#include "ragwortwinch/membership/vm_table.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

PeerDigest sampleDigest()
{
    PeerDigest digest;
    digest.sender = {"n1", "north-cnx", "north", {"10.0.0.1", 80}, {"10.0.0.1", 81}, 7, false, true};
    digest.sequence = 12;
    digest.echo = 11;
    digest.configVersion = 3;
    digest.confirmationAgeMillis = 450;
    digest.isStoreDown = true;
    digest.leavingEndpoints = {{"brew-1", 5}};
    digest.loads = {{"brew-2", 4, 900, 12000, 500}};
    digest.usage = R"({"7":{"riders":[1,2,3]}})";
    return digest;
}

PeerFrame readOne(const std::string& bytes)
{
    PeerFrameReader reader;
    reader.append(bytes);
    std::optional<PeerFrame> frame = reader.next();
    REQUIRE(frame.has_value());
    return *frame;
}

TEST_CASE("a digest is decoded from a stream that arrives byte by byte")
{
    std::string bytes = encodeDigest(sampleDigest());
    PeerFrameReader reader;
    std::optional<PeerFrame> frame;
    for (char byte : bytes) {
        CHECK_FALSE(frame.has_value());
        reader.append(std::string_view(&byte, 1));
        frame = reader.next();
    }
    REQUIRE(frame.has_value());
    std::optional<PeerDigest> digest = decodeDigest(frame->payload);
    REQUIRE(digest.has_value());
    CHECK(digest->sender.name == "n1");
    CHECK(digest->sender.peerAddress.port == 81);
    CHECK(digest->echo == 11);
    CHECK(digest->leavingEndpoints.at("brew-1") == 5);
    CHECK(digest->loads.at(0).kvBlocks == 900);
}

TEST_CASE("a frame of four gigabytes, or of another protocol, marks the stream as broken")
{
    PeerFrameReader large;
    large.append(std::string_view("\xff\xff\xff\xff\x01\x01", 6));
    CHECK_FALSE(large.next().has_value());
    CHECK(large.isBroken());
    PeerFrameReader other;
    other.append("GET / HTTP/1.1\r\n");
    CHECK_FALSE(other.next().has_value());
    CHECK(other.problem().find("protocol version") != std::string::npos);
}

TEST_CASE("a digest carries request limits, and one of an earlier release without them is accepted")
{
    PeerDigest sent = sampleDigest();
    sent.limits = {{"e1", 7, 5.5, 120}, {"e2", 8, -1, 0}};
    std::optional<PeerDigest> digest = decodeDigest(readOne(encodeDigest(sent)).payload);
    REQUIRE(digest);
    REQUIRE(digest->limits.size() == 2);
    CHECK(digest->limits[0].endpoint == "e1");
    CHECK(digest->limits[0].incarnation == 7);
    CHECK(digest->limits[0].perSecond == 5.5);
    CHECK(digest->limits[0].ageMillis == 120);
    CHECK(digest->limits[1].perSecond == -1);
    Json items = Json::from_msgpack(readOne(encodeDigest(sent)).payload);
    constexpr std::size_t itemsBeforeLimits = 10;
    while (items.size() > itemsBeforeLimits)
        items.erase(items.size() - 1);
    std::vector<std::uint8_t> earlier = Json::to_msgpack(items);
    digest = decodeDigest(std::string_view(reinterpret_cast<const char*>(earlier.data()), earlier.size()));
    REQUIRE(digest);
    CHECK(digest->limits.empty());
    CHECK(digest->usage == sent.usage);
}

TEST_CASE("a digest carries the store's era, and one of an earlier release without it is accepted")
{
    PeerDigest sent = sampleDigest();
    sent.limits = {{"e1", 7, 5.5, 120}};
    sent.eraSeenAtUnixMillis = 1700000000123;
    sent.usageProgress = R"({"window":12,"epoch":5})";
    for (std::uint64_t era : {0, 7}) {
        sent.storeEra = era;
        std::optional<PeerDigest> digest = decodeDigest(readOne(encodeDigest(sent)).payload);
        REQUIRE(digest);
        CHECK(digest->storeEra == std::optional<std::uint64_t>(era));
        CHECK(digest->eraSeenAtUnixMillis == sent.eraSeenAtUnixMillis);
        CHECK(digest->usageProgress == sent.usageProgress);
    }
    Json items = Json::from_msgpack(readOne(encodeDigest(sent)).payload);
    constexpr std::size_t itemsBeforeEra = 11;
    while (items.size() > itemsBeforeEra)
        items.erase(items.size() - 1);
    std::vector<std::uint8_t> earlier = Json::to_msgpack(items);
    std::optional<PeerDigest> digest
        = decodeDigest(std::string_view(reinterpret_cast<const char*>(earlier.data()), earlier.size()));
    REQUIRE(digest);
    CHECK_FALSE(digest->storeEra.has_value());
    CHECK(digest->limits.size() == 1);
}

TEST_CASE("decoding a corrupted digest or configuration never crashes")
{
    std::string payload = readOne(encodeDigest(sampleDigest())).payload;
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged
            = payload.substr(0, std::uniform_int_distribution<std::size_t>(0, payload.size())(random));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
            damaged[std::uniform_int_distribution<std::size_t>(0, damaged.size() - 1)(random)]
                = static_cast<char>(random());
        decodeDigest(damaged);
        decodeConfigBody(damaged);
    }
}

TEST_CASE("a VM stays marked as leaving until a newer incarnation reports")
{
    VmInfo vm{"n2", "z", "r", {}, {}, 1, false, true};
    VmInfo leaving = vm;
    leaving.isLeaving = true;
    auto isLeavingAfter = [&](const VmInfo& update) {
        VmTable table("n1", Millis(1000));
        table.onHeartbeat(Instant(Millis(1)), leaving);
        table.onHeartbeat(Instant(Millis(2)), update);
        return table.entries().at("n2").info.isLeaving;
    };
    VmInfo restarted = vm;
    restarted.incarnation = 2;
    CHECK(isLeavingAfter(vm));
    CHECK_FALSE(isLeavingAfter(restarted));
    ScopedDisable off(Mechanism::StickyLeaving);
    CHECK_FALSE(isLeavingAfter(vm));
}

TEST_CASE("VMs without recent heartbeats are not usable, and sorting puts the nearest first")
{
    VmTable table("n1", Millis(1000));
    table.setSelf({"n1", "a", "north", {}, {}, 1, false, true});
    table.onHeartbeat(Instant(Millis(0)), {"n2", "b", "north", {}, {}, 1, false, true});
    table.onHeartbeat(Instant(Millis(900)), {"n3", "c", "south", {}, {}, 1, false, true});
    CHECK(table.usable(Instant(Millis(1000))).size() == 3);
    std::vector<VmInfo> later = table.usable(Instant(Millis(1500)));
    REQUIRE(later.size() == 2);
    sortByLocality(later, "c", "south");
    CHECK(later[0].name == "n3");
}

} // namespace
} // namespace ragwortwinch
