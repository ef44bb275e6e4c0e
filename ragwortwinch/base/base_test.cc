#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/snapshot.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace ragwortwinch {
namespace {

TEST_CASE("a log line quotes and escapes values that could forge another line")
{
    LogEvent event("test.line");
    event.with("plain", "word")
        .with("spaced", "two words")
        .with("forged", "x\nevent=lease.lost")
        .with("number", 7);
    CHECK(event.line()
        == "event=test.line plain=word spaced=\"two words\" forged=\"x\\x0aevent=lease.lost\" number=7");
}

TEST_CASE("the error of invalid JSON names the line")
{
    std::string message = handleErrors(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseJson("{\n \"a\": 1,\n \"b\" 2 }", ErrorKind::BadSettings));
            return std::string();
        },
        [](const Error& error) { return error.message; });
    CHECK(message.starts_with("line 3:"));
}

TEST_CASE("hashes, constant-time comparison and seeded ids")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(constantTimeEquals("same", "same"));
    CHECK_FALSE(constantTimeEquals("same", "sama"));
    CHECK_FALSE(constantTimeEquals("same", "sam"));
    RandomIds first(1);
    RandomIds second(1);
    CHECK(first.next() == second.next());
    CHECK(first.next() != first.next());
}

TEST_CASE("a violated invariant is counted, and throws under test")
{
    std::uint64_t before = brokenInvariants();
    CHECK_THROWS(checkInvariant(false, "test.broken"));
    CHECK(brokenInvariants() == before + 1);
}

TEST_CASE("readers of a snapshot never see a partly replaced value")
{
    struct Pair {
        int left;
        int right;
    };
    Snapshot<Pair> snapshot(std::make_unique<Pair>(Pair{0, 0}));
    std::atomic<bool> isDone{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int index = 0; index < 3; ++index) {
        readers.emplace_back([&] {
            while (!isDone.load()) {
                Snapshot<Pair>::Reader reader = snapshot.read();
                torn += reader->left == reader->right ? 0 : 1;
            }
        });
    }
    for (int value = 1; value <= 300; ++value)
        snapshot.replace(std::make_unique<Pair>(Pair{value, value}));
    isDone.store(true);
    for (std::thread& reader : readers)
        reader.join();
    CHECK(torn.load() == 0);
    CHECK(snapshot.read()->left == 300);
}

} // namespace
} // namespace ragwortwinch
