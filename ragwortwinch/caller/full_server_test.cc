// A ForwardServer with as many connections as it takes.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::RawSocket;

constexpr std::size_t maxSessions = 20;
// Addresses of callers, 127.0.0.x.
constexpr std::uint32_t hoarder = 2;
constexpr std::uint32_t ordinaryCaller = 3;

class FullServer {
public:
    FullServer()
        : endpoint_([](RawSocket& socket, const std::string& request) {
            if (request.find("slow") != std::string::npos)
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            socket.send(answerTo(request, "fine"));
            return true;
        })
        , fixture_(nullptr, {}, maxSessions)
    {
        fixture_.setConfig(ForwardFixture::sampleConfig());
        fixture_.setEndpoints({&endpoint_});
    }

    RawSocket connect(std::uint32_t caller) const { return fixture_.connect(caller); }

    // Whether a request on a new connection is answered.
    bool serves(std::uint32_t caller) const
    {
        RawSocket socket = connect(caller);
        return isAnswered(socket);
    }
    static bool isAnswered(RawSocket& socket)
    {
        socket.send(ForwardFixture::request("/safe/a", "r1"));
        return socket.readMessage(1500).ends_with("fine");
    }

private:
    FakeEndpoint endpoint_;
    ForwardFixture fixture_;
};

// Guards against one caller whose idle connections keep all others out.
TEST_CASE("a full server closes an idle connection of the address with the most for another caller")
{
    FullServer server;
    std::vector<RawSocket> idle;
    for (std::size_t number = 0; number < 2 * maxSessions; ++number)
        idle.push_back(server.connect(hoarder));
    std::vector<RawSocket> kept;
    for (int number = 0; number < 5; ++number) {
        kept.push_back(server.connect(ordinaryCaller));
        CHECK(FullServer::isAnswered(kept.back()));
    }
    for (RawSocket& socket : kept)
        CHECK(FullServer::isAnswered(socket));
    CHECK_FALSE(server.serves(hoarder));
}

TEST_CASE("a full server closes no connection with a request, and none of an address with few")
{
    FullServer server;
    std::vector<RawSocket> busy;
    for (std::size_t number = 0; number < maxSessions; ++number) {
        // Each has one connection, but the first two callers have two.
        std::uint32_t caller = 10 + static_cast<std::uint32_t>(number) % (maxSessions - 2);
        busy.push_back(server.connect(caller));
    }
    CHECK_FALSE(server.serves(10));
    CHECK(FullServer::isAnswered(busy[5]));
    busy[0].send(ForwardFixture::request("/safe/slow", "s0"));
    busy[1].send(ForwardFixture::request("/safe/slow", "s1"));
    busy[maxSessions - 2].send(ForwardFixture::request("/safe/slow", "s2"));
    busy[maxSessions - 1].send(ForwardFixture::request("/safe/slow", "s3"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_FALSE(server.serves(ordinaryCaller));
    for (std::size_t number : {std::size_t{0}, std::size_t{1}, maxSessions - 2, maxSessions - 1})
        CHECK(busy[number].readMessage(1500).ends_with("fine"));
}

} // namespace
} // namespace ragwortwinch
