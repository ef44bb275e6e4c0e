#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::chunkOf;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::RawSocket;

// Room for two bodies of 8,000 bytes with their heads, and not for three.
MemoryLimits lowLimits()
{
    MemoryLimits limits;
    limits.requestBytes = 24000;
    limits.smallRequestBytes = 0;
    return limits;
}

std::string headOf(const std::string& id, std::size_t length)
{
    return fmt::format(
        "POST /once/a HTTP/1.1\r\nHost: api\r\nId: {}\r\nKey: key\r\nContent-Length: {}\r\n\r\n", id, length);
}

class LowMemory {
public:
    LowMemory()
        : endpoint([](RawSocket& socket, const std::string& request) {
            socket.send(answerTo(request, "fine"));
            return true;
        })
        , fixture(nullptr, lowLimits())
    {
        fixture.setConfig(ForwardFixture::sampleConfig());
        fixture.setEndpoints({&endpoint});
    }

    FakeEndpoint endpoint;
    ForwardFixture fixture;
};

// Guards against callers that fill the memory and stay silent, and against ending callers that still send.
TEST_CASE("without memory, a stalled request ends with 408 and one that is being sent goes on")
{
    LowMemory system;
    RawSocket stalled = system.fixture.connect();
    stalled.send(headOf("stalled", 8000) + "b");
    RawSocket steady = system.fixture.connect();
    steady.send(headOf("steady", 8000));
    for (int number = 0; number < 20; ++number) {
        steady.send("b");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        // Before anything has stalled, the new request is refused.
        if (number == 0) {
            RawSocket early = system.fixture.connect();
            early.send(headOf("early", 8000));
            CHECK(early.readMessage().starts_with("HTTP/1.1 503 "));
        }
    }
    RawSocket late = system.fixture.connect();
    late.send(headOf("late", 8000) + std::string(8000, 'b'));
    CHECK(late.readMessage().ends_with("fine"));
    CHECK(stalled.readMessage().starts_with("HTTP/1.1 408 "));
    steady.send(std::string(8000 - 20, 'b'));
    CHECK(steady.readMessage().ends_with("fine"));
    // Refused requests are never run.
    for (const std::string& request : system.endpoint.requests())
        CHECK((request.find("Id: late") != std::string::npos
            || request.find("Id: steady") != std::string::npos));
}

// Guards against bodies in chunks that no limit counts, and against memory that stays charged.
TEST_CASE("bodies in chunks are counted, refused without memory, and released with their connections")
{
    LowMemory system;
    std::string head = "POST /once/a HTTP/1.1\r\nHost: api\r\nId: chunks\r\nKey: key\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<RawSocket> callers;
    int refused = 0;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(system.fixture.connect());
        callers.back().send(head + chunkOf(std::string(8000, 'b')));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (callers.back().waitForInput(0))
            refused += callers.back().readMessage().starts_with("HTTP/1.1 503 ") ? 1 : 0;
    }
    CHECK(refused >= 4);
    callers.clear();
    std::string answer;
    testing::waitFor(
        [&] {
            RawSocket caller = system.fixture.connect();
            caller.send(head + chunkOf(std::string(8000, 'b')) + "0\r\n\r\n");
            answer = caller.readMessage();
            return answer.ends_with("fine");
        },
        3000);
    CHECK(answer.ends_with("fine"));
    CHECK(system.endpoint.requests().size() == 1);
}

} // namespace
} // namespace ragwortwinch
