#include "ragwortwinch/store/store_era.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

TEST_CASE("a store that names no era has one era for ever")
{
    StoreEra era;
    CHECK(era.onAnswer(std::nullopt, std::nullopt) == EraVerdict::Current);
    CHECK_FALSE(era.current().has_value());
    CHECK(makeFencingToken(std::nullopt, 412) == 412);
}

TEST_CASE("a greater era means a restored store, and a late answer of an earlier one counts for nothing")
{
    StoreEra era;
    CHECK(era.onAnswer(std::nullopt, 3) == EraVerdict::First);
    CHECK(era.onAnswer(3, 3) == EraVerdict::Current);
    CHECK(era.onAnswer(3, 5) == EraVerdict::Restored);
    CHECK(era.onAnswer(3, 3) == EraVerdict::Late);
    CHECK(era.onAnswer(std::nullopt, 4) == EraVerdict::Late);
    CHECK(era.onAnswer(5, 5) == EraVerdict::Current);
    CHECK(era.current() == std::optional<std::uint64_t>(5));
}

TEST_CASE("a missing era makes an answer unusable, and an era that goes back is a restore")
{
    StoreEra era;
    era.onAnswer(std::nullopt, 3);
    CHECK(era.onAnswer(3, std::nullopt) == EraVerdict::Missing);
    CHECK(era.onAnswer(3, 2) == EraVerdict::Restored);
    CHECK(era.onAnswer(2, 2) == EraVerdict::Current);
    // A peer that still has the greater era doesn't bring it back.
    CHECK_FALSE(era.onPeerEra(3));
    CHECK(era.current() == std::optional<std::uint64_t>(2));
}

TEST_CASE("a peer's era counts once, and not before the store has named one")
{
    StoreEra era;
    CHECK_FALSE(era.onPeerEra(9));
    era.onAnswer(std::nullopt, 3);
    CHECK_FALSE(era.onPeerEra(std::nullopt));
    CHECK(era.onPeerEra(4));
    CHECK_FALSE(era.onPeerEra(4));
    CHECK(era.onAnswer(4, 4) == EraVerdict::Current);
}

TEST_CASE("fencing tokens grow from era to era although revisions go back")
{
    CHECK(makeFencingToken(2, 1) > makeFencingToken(1, 1000000));
    CHECK(makeFencingToken(2, 2) > makeFencingToken(2, 1));
}

} // namespace
} // namespace ragwortwinch
