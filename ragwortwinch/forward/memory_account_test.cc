#include "ragwortwinch/forward/memory_account.h"

#include "ragwortwinch/forward/reply_buffer.h"

#include <doctest/doctest.h>
#include <memory>

namespace ragwortwinch {
namespace {

constexpr std::size_t megabyte = 1024 * 1024;

MemoryLimits testLimits()
{
    MemoryLimits limits;
    limits.requestBytes = 1000;
    limits.smallRequestBytes = 100;
    limits.smallBytes = 50;
    limits.addressBytes = 800;
    return limits;
}

// Guards against large bodies that keep ordinary requests from being read.
TEST_CASE("a full account still has memory for connections that hold little")
{
    MemoryAccount account(testLimits());
    MemoryCharge first(account, "a");
    MemoryCharge second(account, "b");
    MemoryCharge third(account, "c");
    CHECK(first.add(800));
    CHECK(second.add(200));
    CHECK_FALSE(third.add(51));
    CHECK(third.add(50));
    CHECK_FALSE(third.add(1));
    CHECK(account.requestBytes() == 1050);
}

TEST_CASE("one address can't use up the account")
{
    MemoryAccount account(testLimits());
    MemoryCharge first(account, "a");
    MemoryCharge second(account, "a");
    MemoryCharge other(account, "b");
    CHECK(first.add(700));
    CHECK_FALSE(second.add(101));
    CHECK(second.add(100));
    CHECK(other.add(200));
    first.release(700);
    CHECK(second.add(300));
}

// Guards against memory that stays charged after a connection has ended.
TEST_CASE("a charge releases what it holds when it is destroyed")
{
    MemoryAccount account(testLimits());
    std::unique_ptr<MemoryCharge> charge = std::make_unique<MemoryCharge>(account, "a");
    CHECK(charge->add(700));
    charge->release(100);
    charge.reset();
    CHECK(account.requestBytes() == 0);
    MemoryCharge next(account, "a");
    CHECK(next.add(800));
}

TEST_CASE("a full account asks once for memory, and not before it is full")
{
    MemoryAccount account(testLimits());
    MemoryCharge first(account, "a");
    MemoryCharge second(account, "b");
    int calls = 0;
    account.setReclaim([&](const MemoryCharge& charge, std::size_t bytes) {
        ++calls;
        CHECK(&charge == &second);
        CHECK(bytes == 300);
        first.release(300);
        return true;
    });
    CHECK(first.add(800));
    CHECK(calls == 0);
    CHECK(second.add(300));
    CHECK(calls == 1);
}

// Guards against limits that refuse a single request which a configuration allows.
TEST_CASE("the limits of a small machine take half of its memory and hold the greatest request and reply")
{
    MemoryLimits limits = MemoryLimits::forMachine(120);
    CHECK(limits.requestBytes + limits.smallRequestBytes + limits.replyBytes <= 60 * megabyte);
    CHECK(limits.addressBytes >= 2 * 4 * megabyte);
    CHECK(limits.replyBytes >= ReplyMemory::maxReplyBytes);
    MemoryLimits large = MemoryLimits::forMachine(512);
    CHECK(large.requestBytes == MemoryLimits().requestBytes);
    CHECK(large.replyBytes == MemoryLimits().replyBytes);
}

// Guards against replies whose unused capacity isn't counted.
TEST_CASE("replies are counted by capacity, and small ones exceed the limit by half at most")
{
    ReplyMemory memory{.limit = 1000};
    ReplyBuffer first(memory);
    CHECK(first.append(std::string(600, 'a')));
    CHECK(first.append(std::string(100, 'a')));
    CHECK(memory.bytes == 900);
    ReplyBuffer second(memory);
    CHECK(second.append(std::string(600, 'b')));
    CHECK_FALSE(second.append(std::string(100, 'b')));
    CHECK(memory.bytes == 1500);
    CHECK(first.take() == std::string(700, 'a'));
    CHECK(memory.bytes == 600);
}

} // namespace
} // namespace ragwortwinch
