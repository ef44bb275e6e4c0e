#include "ragwortwinch/quarantine/request_quarantine.h"

#include <doctest/doctest.h>
#include <string>

namespace ragwortwinch {
namespace {

constexpr TraitId harmful = 0xbad;

Instant at(int millis) { return Instant(Millis(1000000 + millis)); }

EndpointCrash crash(int number, int lostMillis, TraitId part = harmful)
{
    return {"e" + std::to_string(number), 1, at(lostMillis), {{{part}, at(lostMillis - 100)}}};
}

StoreAnswer answerTo(const StoreOps& ops, StoreStatus status)
{
    REQUIRE(ops.size() == 1);
    StoreAnswer answer;
    answer.opId = ops[0].id;
    answer.status = status;
    return answer;
}

// A VM that has found the harmful part by itself.
struct Fixture {
    Fixture()
        : quarantine("a", ids)
    {
        for (int number = 0; number < 3; ++number)
            quarantine.onCrash(at(number * 210), crash(number, number * 210), true);
    }
    OpIds ids;
    RequestQuarantine quarantine;
};

TEST_CASE("a harmful part is put into quarantine, told to peers and written to the store once")
{
    Fixture fixture;
    StoreOps ops = fixture.quarantine.tick(at(500), {});
    CHECK(fixture.quarantine.takeChanged());
    CHECK(fixture.quarantine.quarantinedUntil().contains(harmful));
    REQUIRE(ops.size() == 1);
    CHECK(ops[0].verb == StoreVerb::Put);
    CHECK(ops[0].key == "quarantine/bad");
    CHECK(ops[0].expectedRevision == 0);
    CHECK(ops[0].ttl == RequestQuarantine::duration);
    std::optional<QuarantineNews> news = fixture.quarantine.takeNews();
    REQUIRE(news);
    CHECK(news->crashes.size() == 3);
    CHECK(news->quarantinedUntil.contains(harmful));
    CHECK_FALSE(fixture.quarantine.takeNews());
    fixture.quarantine.onAnswer(at(510), answerTo(ops, StoreStatus::Ok));
    CHECK(fixture.quarantine.tick(at(5000), {}).empty());
}

TEST_CASE("a write that the store refused is repeated, and one that another VM did first is not")
{
    Fixture fixture;
    StoreOps ops = fixture.quarantine.tick(at(500), {});
    fixture.quarantine.onAnswer(at(510), answerTo(ops, StoreStatus::Unavailable));
    CHECK(fixture.quarantine.tick(at(600), {}).empty());
    ops = fixture.quarantine.tick(at(1600), {});
    fixture.quarantine.onAnswer(at(1610), answerTo(ops, StoreStatus::Conflict));
    CHECK(fixture.quarantine.tick(at(5000), {}).empty());
}

TEST_CASE("a VM learns a part from a peer's news, encoded and decoded, and from the store")
{
    Fixture fixture;
    fixture.quarantine.tick(at(500), {});
    OpIds ids;
    RequestQuarantine other("b", ids);
    // The clock of the other VM has another origin.
    std::string bytes = encodeQuarantineNews(fixture.quarantine.allNews(), at(600));
    std::optional<QuarantineNews> news = decodeQuarantineNews(bytes, at(70000));
    REQUIRE(news);
    CHECK(news->crashes[0].lostAt == at(70000 - 600));
    other.onNews(at(70000), "a", *news);
    CHECK(other.quarantinedUntil().contains(harmful));
    RequestQuarantine third("c", ids);
    third.onStoreList(at(0), {{"quarantine/bad", "{}", 7}, {"quarantine/x/y", "{}", 8}});
    CHECK(third.quarantinedUntil().size() == 1);
    CHECK(third.tick(at(5000), {}).empty());
}

TEST_CASE("an answered prompt releases the part everywhere, and earlier crashes don't bring it back")
{
    Fixture fixture;
    StoreOps ops = fixture.quarantine.tick(at(500), {});
    fixture.quarantine.onAnswer(at(510), answerTo(ops, StoreStatus::Ok));
    fixture.quarantine.takeNews();
    fixture.quarantine.onAnswered(at(600), harmful, at(600));
    CHECK(fixture.quarantine.quarantinedUntil().empty());
    std::optional<QuarantineNews> news = fixture.quarantine.takeNews();
    REQUIRE(news);
    CHECK(news->released.contains(harmful));
    ops = fixture.quarantine.tick(at(650), {});
    REQUIRE(ops.size() == 1);
    CHECK(ops[0].verb == StoreVerb::Delete);
    CHECK(fixture.quarantine.quarantinedUntil().empty());
}

TEST_CASE("a key that is removed from the store, and the end of its time, release the part")
{
    Fixture fixture;
    fixture.quarantine.tick(at(500), {});
    fixture.quarantine.onStoreEntry(at(600), "quarantine/bad");
    fixture.quarantine.onStoreRemoval(at(700), "quarantine/bad");
    CHECK(fixture.quarantine.quarantinedUntil().empty());
    fixture.quarantine.tick(at(800), {});
    CHECK(fixture.quarantine.quarantinedUntil().empty());
    Fixture second;
    second.quarantine.tick(at(500), {});
    second.quarantine.tick(at(500) + RequestQuarantine::duration, {});
    CHECK(second.quarantine.quarantinedUntil().empty());
}

TEST_CASE("a part beyond the limit is left in the store")
{
    OpIds ids;
    RequestQuarantine quarantine("a", ids);
    for (std::size_t part = 0; part <= RequestQuarantine::maxParts; ++part)
        quarantine.onStoreEntry(at(0), quarantineKeyPrefix + partIdText(part));
    CHECK(quarantine.quarantinedUntil().size() == RequestQuarantine::maxParts);
    CHECK(quarantine.tick(at(5000), {}).empty());
}

TEST_CASE("further evidence doesn't prolong a quarantine")
{
    Fixture fixture;
    fixture.quarantine.tick(at(500), {});
    Instant until = fixture.quarantine.quarantinedUntil().at(harmful);
    fixture.quarantine.onCrash(at(90000), crash(9, 90000), true);
    fixture.quarantine.tick(at(90050), {});
    CHECK(fixture.quarantine.quarantinedUntil().at(harmful) == until);
}

TEST_CASE("a lost connection counts as a crash only when the endpoint is gone")
{
    OpIds ids;
    RequestQuarantine quarantine("a", ids);
    quarantine.onEndpoints(at(0), {{"e0", 1}, {"e1", 1}, {"e2", 1}, {"e3", 1}});
    for (int number = 0; number < 4; ++number)
        quarantine.onCrash(at(number * 210), crash(number, number * 210), false);
    quarantine.tick(at(950), {});
    CHECK(quarantine.quarantinedUntil().empty());
    // One has started again under its id.
    quarantine.onEndpoints(at(1000), {{"e0", 1}, {"e1", 2}});
    quarantine.tick(at(1050), {});
    CHECK(quarantine.quarantinedUntil().contains(harmful));
}

TEST_CASE("a part is released when another one turns out to explain its crashes")
{
    OpIds ids;
    RequestQuarantine quarantine("a", ids);
    constexpr TraitId innocent = 0xc0;
    for (int number = 0; number < 3; ++number)
        quarantine.onCrash(at(number * 210), crash(number, number * 210, innocent), true);
    quarantine.tick(at(500), {});
    CHECK(quarantine.quarantinedUntil().contains(innocent));
    // Reports of a peer arrive later: the same endpoints were answering prompts with the harmful part.
    QuarantineNews news;
    for (int number = 0; number < 5; ++number)
        news.crashes.push_back(crash(number, number * 210));
    quarantine.onNews(at(1000), "b", news);
    quarantine.tick(at(1050), {});
    CHECK(quarantine.quarantinedUntil().size() == 1);
    CHECK(quarantine.quarantinedUntil().contains(harmful));
}

TEST_CASE("malformed news is rejected")
{
    for (const char* text :
        {"", "[]", "{", "{}", R"({"crashes":1,"answered_ms_ago":{},"quarantined_ms":{},"released":[]})",
            R"({"crashes":[{}],"answered_ms_ago":{},"quarantined_ms":{},"released":[]})",
            R"({"crashes":[],"answered_ms_ago":{"x":1},"quarantined_ms":{},"released":[]})",
            R"({"crashes":[],"answered_ms_ago":{},"quarantined_ms":{"1":"a"},"released":[]})",
            R"({"crashes":[],"answered_ms_ago":{},"quarantined_ms":{},"released":["12345678901234567"]})"}) {
        CAPTURE(text);
        CHECK_FALSE(decodeQuarantineNews(text, at(0)));
    }
}

} // namespace
} // namespace ragwortwinch
