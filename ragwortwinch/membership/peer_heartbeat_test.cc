#include "ragwortwinch/membership/peer_heartbeat.h"

#include "ragwortwinch/membership/cluster_clock.h"
#include "ragwortwinch/membership/peer_links.h"
#include "ragwortwinch/membership/peer_load.h"
#include "ragwortwinch/membership/vm_table.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

Instant at(std::int64_t millis) { return Instant(Millis(millis)); }

PeerFrame readOne(const std::string& bytes)
{
    PeerFrameReader reader;
    reader.append(bytes);
    std::optional<PeerFrame> frame = reader.next();
    REQUIRE(frame.has_value());
    return *frame;
}

PeerHeartbeat sampleHeartbeat() { return {1778453293740, true, false, true, 12, 1778453299999, Millis(150)}; }

PeerNews sampleNews()
{
    PeerNews news;
    news.loads = {{"e1", 4, 0, 12000, 500}, {"e2", 1, 0, 0, 0}};
    news.limits = {{"e1", 7, 5.5, 120}, {"e2", 8, -1, 0}};
    news.usage = std::string("\0\1totals", 8);
    news.storeEra = StoreEraNews{3, 1778453290000, R"({"window":12})"};
    news.demands = {{"t1", 99000, 2244759, 300000, -5000}, {"t2", 0, 1, 0, 29000}};
    return news;
}

// Counts what it receives. `usesHeartbeats` is false for a release that doesn't know heartbeats.
class RecordingListener : public PeerListener {
public:
    RecordingListener(std::string name, bool usesHeartbeats)
        : name_(std::move(name))
        , usesHeartbeats_(usesHeartbeats)
    {
    }
    PeerDigest makeDigest(const std::string& peer) override
    {
        digestPeers.push_back(peer);
        PeerDigest digest;
        digest.sender.name = name_;
        digest.sender.peerAddress = address;
        return digest;
    }
    void onDigest(const std::string&, const PeerDigest&) override { ++digests; }
    void onFrame(const std::string&, const PeerFrame& frame) override
    {
        heartbeats += frame.kind == PeerMessageKind::Heartbeat ? 1 : 0;
    }
    std::string makeHeartbeat() override
    {
        ++made;
        return encodeHeartbeat(sampleHeartbeat());
    }
    bool usesHeartbeats() const override { return usesHeartbeats_; }

    SocketAddress address;
    std::vector<std::string> digestPeers;
    int digests = 0;
    int heartbeats = 0;
    int made = 0;

private:
    std::string name_;
    bool usesHeartbeats_;
};

TEST_CASE("a heartbeat and news are decoded as they were encoded")
{
    std::optional<PeerHeartbeat> heartbeat
        = decodeHeartbeat(readOne(encodeHeartbeat(sampleHeartbeat())).payload);
    REQUIRE(heartbeat);
    CHECK(*heartbeat == sampleHeartbeat());
    std::optional<PeerNews> news = decodeNews(readOne(encodeNews(sampleNews())).payload);
    REQUIRE(news);
    CHECK(news->loads == sampleNews().loads);
    REQUIRE(news->limits.size() == 2);
    CHECK(news->limits[0].perSecond == 5.5);
    CHECK(news->limits[1].endpoint == "e2");
    CHECK(news->usage == sampleNews().usage);
    CHECK(news->storeEra == sampleNews().storeEra);
    CHECK(news->demands == sampleNews().demands);
    CHECK(decodeNews(readOne(encodeNews({})).payload)->isEmpty());
}

TEST_CASE("longer heartbeats and unknown sections of news, as of a later release, are accepted")
{
    std::string payload = readOne(encodeHeartbeat(sampleHeartbeat())).payload + "more";
    CHECK(decodeHeartbeat(payload) == sampleHeartbeat());
    std::string news = readOne(encodeNews(sampleNews())).payload;
    std::string unknown = std::string("\x63\0\0\0\3new", 8);
    std::optional<PeerNews> decoded = decodeNews(unknown + news);
    REQUIRE(decoded);
    CHECK(decoded->loads == sampleNews().loads);
}

TEST_CASE("decoding a corrupted heartbeat or corrupted news never crashes")
{
    std::mt19937_64 random(20261205);
    for (const std::string& payload : {readOne(encodeHeartbeat(sampleHeartbeat())).payload,
             readOne(encodeNews(sampleNews())).payload, readOne(encodeCapabilities()).payload}) {
        for (int round = 0; round < 20000; ++round) {
            std::string damaged
                = payload.substr(0, std::uniform_int_distribution<std::size_t>(0, payload.size())(random));
            for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
                damaged[std::uniform_int_distribution<std::size_t>(0, damaged.size() - 1)(random)]
                    = static_cast<char>(random());
            decodeHeartbeat(damaged);
            decodeNews(damaged);
            decodeCapabilities(damaged);
        }
    }
}

TEST_CASE("small heartbeats go to peers that understand them, and digests to the others")
{
    for (bool isPeerOld : {false, true}) {
        CAPTURE(isPeerOld);
        asio::io_context context;
        RecordingListener first("a", true);
        RecordingListener second("b", !isPeerOld);
        constexpr Millis heartbeat{20};
        PeerLinks firstLinks(context, "a", {"127.0.0.1", 0}, heartbeat, first);
        PeerLinks secondLinks(context, "b", {"127.0.0.1", 0}, heartbeat, second);
        auto portOf = [](PeerLinks& links) {
            return handleErrors([&] { return links.start(); }, [](const Error&) { return std::uint16_t(0); });
        };
        first.address = {"127.0.0.1", portOf(firstLinks)};
        second.address = {"127.0.0.1", portOf(secondLinks)};
        firstLinks.setAddresses({second.address});
        SystemClock clock;
        Instant end = clock.now() + Millis(400);
        while (clock.now() < end) {
            firstLinks.tick(clock.now());
            secondLinks.tick(clock.now());
            context.run_for(std::chrono::milliseconds(5));
            context.restart();
        }
        // Digests: one at the start, one when the capabilities arrive.
        CHECK((second.digests <= 2) == !isPeerOld);
        CHECK((second.heartbeats >= 5) == !isPeerOld);
        CHECK(second.digests + second.heartbeats >= 5);
        // What is left out of the first digest goes with the second one, which is made for a named peer.
        REQUIRE(first.digestPeers.size() >= 2);
        CHECK(first.digestPeers[0].empty());
        CHECK(first.digestPeers[1] == "b");
        // One encoding for each heartbeat, whatever the number of peers.
        CHECK(first.made <= 400 / 20 + 1);
        CHECK(firstLinks.takesStoreNews("b") == !isPeerOld);
        CHECK_FALSE(firstLinks.takesStoreNews("unknown"));
        // What waits to be sent is counted until it is sent or its connection is closed.
        CHECK(firstLinks.queuedBytes() == 0);
        constexpr std::size_t bigFrame = 4 * 1024 * 1024;
        firstLinks.send("b", encodeFrame(PeerMessageKind::QuarantineNews, std::string(bigFrame, 'x')));
        CHECK(firstLinks.queuedBytes() > bigFrame);
        context.run_for(std::chrono::milliseconds(1));
        context.restart();
        firstLinks.stop();
        secondLinks.stop();
        context.run_for(std::chrono::milliseconds(20));
        CHECK(firstLinks.queuedBytes() == 0);
    }
}

TEST_CASE("a heartbeat keeps the load of its peer alive, and changes nothing else in it")
{
    PeerLoad load(Millis(2000));
    load.onReport(at(0), "a", {{"e1", 2, 0, 0, 0}});
    load.refresh(at(1500), "a");
    load.refresh(at(1500), "unknown");
    load.expire(at(3000));
    CHECK(load.sums().at("e1").running == 2);
    load.expire(at(3501));
    CHECK(load.sums().empty());
}

TEST_CASE("a heartbeat of a known incarnation keeps the VM usable, another one does not")
{
    VmTable table("self", Millis(1000));
    table.onHeartbeat(at(0), {"a", "z", "r", {}, {}, 5, false, true});
    table.onHeartbeat(at(900), "a", {5, true, false, false, 0, 0, Millis(50)});
    table.onHeartbeat(at(900), "unknown", {5, true});
    REQUIRE(table.usable(at(1800)).size() == 1);
    CHECK(table.usable(at(1800))[0].lag == Millis(50));
    table.onHeartbeat(at(1800), "a", {4, true});
    CHECK(table.usable(at(2000)).empty());
    // Leaving stays in force until a newer incarnation.
    table.onHeartbeat(at(2000), "a", {5, true, true});
    table.onHeartbeat(at(2100), "a", {5, true});
    CHECK(table.usable(at(2100)).empty());
}

} // namespace
} // namespace ragwortwinch
