// A caller that has left gets nothing sent on its behalf. The forwarding thread is held up, so that it finds
// the caller's bytes and the end of the connection at the same moment, as on a VM that has fallen behind.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::chunkOf;
using testing::FakeEndpoint;
using testing::fieldOf;
using testing::ForwardFixture;
using testing::RawSocket;
using testing::waitFor;

constexpr const char* allKinds[] = {"/safe/a", "/once/a", "/events/a", "/single/a", "/open/a", "/prompt/a"};
// How soon after the end of a connection the work for it must have ended, by the platform's rules.
constexpr int stopBoundMillis = 500;

// The kernel takes at least so many bytes that nobody reads. The orderly end of a connection doesn't arrive
// before the bytes that precede it; a reset does.
constexpr std::size_t receivedByKernel = 100000;

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

bool answerOk(RawSocket& socket, const std::string& request)
{
    if (fieldOf(request, "Id") == "first")
        pause(50);
    socket.send(answerTo(request, "fine"));
    return true;
}

// Holds up the forwarding thread while it decodes the request.
std::string stallRequest(int millis)
{
    return ForwardFixture::request("/nowhere/a", "stall", "", "Stall: " + std::to_string(millis) + "\r\n");
}

std::size_t sendsOf(const FakeEndpoint& endpoint, const std::string& id)
{
    std::vector<std::string> requests = endpoint.requests();
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
        [&id](const std::string& request) { return fieldOf(request, "Id") == id; }));
}

class Fixture : public ForwardFixture {
public:
    Fixture()
    {
        TrafficConfig config = sampleConfig();
        config.limits.maxBodyBytes = 200000;
        setConfig(config);
    }

    // Returns once the connection is accepted and one request on it has been answered.
    RawSocket warmConnection()
    {
        RawSocket caller = connect();
        caller.send(request("/nowhere/a", "warm"));
        REQUIRE(caller.readMessage().starts_with("HTTP/1.1 404 "));
        return caller;
    }

    // Leaves an idle connection to each endpoint: a request on a kept connection is written in the turn in
    // which it is placed. The endpoints must answer the request `first` in a while.
    void keepConnections(std::size_t endpoints)
    {
        std::vector<RawSocket> callers;
        for (std::size_t number = 0; number < endpoints; ++number) {
            callers.push_back(connect());
            callers.back().send(request("/safe/a", "first"));
        }
        for (RawSocket& caller : callers)
            REQUIRE(caller.readMessage().starts_with("HTTP/1.1 200 "));
    }

    void stall(int millis)
    {
        blocker_ = warmConnection();
        blocker_.send(stallRequest(millis));
        // Until the forwarding thread has read it.
        pause(50);
    }
    void waitUntilResumed() { REQUIRE(blocker_.readMessage(5000).starts_with("HTTP/1.1 404 ")); }

private:
    RawSocket blocker_;
};

} // namespace

TEST_SUITE("departed_caller")
{
    TEST_CASE("a request of a caller that left before it was read reaches no endpoint")
    {
        for (std::string path : allKinds) {
            for (std::string behind : {"", "G", "POST /safe/b HTTP/1.1\r\nHost: api\r\n"}) {
                for (bool isAccepted : {true, false}) {
                    CAPTURE(path);
                    CAPTURE(behind);
                    CAPTURE(isAccepted);
                    FakeEndpoint endpoint(answerOk);
                    Fixture fixture;
                    fixture.setEndpoints({&endpoint});
                    fixture.keepConnections(1);
                    RawSocket caller = isAccepted ? fixture.warmConnection() : RawSocket();
                    fixture.stall(300);
                    if (!isAccepted)
                        caller = fixture.connect();
                    caller.send(ForwardFixture::request(path, "left", std::string(2000, 'b')) + behind);
                    pause(20);
                    caller.close();
                    fixture.waitUntilResumed();
                    // A caller that stays is served.
                    RawSocket other = fixture.connect();
                    other.send(ForwardFixture::request("/once/a", "stays"));
                    CHECK(other.readMessage().ends_with("fine"));
                    CHECK(sendsOf(endpoint, "left") == 0);
                }
            }
        }
    }

    TEST_CASE("a request whose caller left in its header or body reaches no endpoint")
    {
        std::string whole = ForwardFixture::request("/once/a", "left", std::string(2000, 'b'));
        for (std::size_t size : {std::size_t(10), whole.find("\r\n\r\n") + 4, whole.size() - 1}) {
            CAPTURE(size);
            FakeEndpoint endpoint(answerOk);
            Fixture fixture;
            fixture.setEndpoints({&endpoint});
            RawSocket caller = fixture.warmConnection();
            caller.send(whole.substr(0, size));
            pause(30);
            caller.close();
            pause(50);
            CHECK(endpoint.requests().empty());
        }
    }

    TEST_CASE("the work for a caller that left stops although unread bytes precede the end of its connection")
    {
        for (std::string path : allKinds) {
            for (std::size_t unread : {std::size_t(1), std::size_t(100000), std::size_t(4000000)}) {
                CAPTURE(path);
                CAPTURE(unread);
                std::atomic<bool> hasStarted{false};
                std::atomic<bool> hasClosed{false};
                FakeEndpoint endpoint([&](RawSocket& socket, const std::string&) {
                    hasStarted.store(true);
                    bool closed = false;
                    socket.readToEnd(closed, 1500);
                    hasClosed.store(closed);
                    return false;
                });
                Fixture fixture;
                fixture.setEndpoints({&endpoint});
                RawSocket caller = fixture.connect();
                caller.send(ForwardFixture::request(path, "left", "body"));
                REQUIRE(waitFor([&] { return hasStarted.load(); }, 1000));
                if (unread <= receivedByKernel) {
                    caller.send(std::string(unread, 'x'));
                    caller.close();
                } else {
                    std::thread sender([&] { caller.send(std::string(unread, 'x')); });
                    pause(50);
                    shutdown(caller.descriptor(), SHUT_RDWR);
                    sender.join();
                    caller.reset();
                }
                CHECK(waitFor([&] { return hasClosed.load(); }, stopBoundMillis));
            }
        }
    }

    TEST_CASE("a request whose caller left while the endpoint was being connected is not sent")
    {
        FakeEndpoint endpoint(answerOk);
        Fixture fixture;
        fixture.setEndpoints({&endpoint});
        RawSocket caller = fixture.warmConnection();
        RawSocket secondBlocker = fixture.warmConnection();
        fixture.stall(200);
        // Both are read in this order when the thread goes on: the connect starts, then the thread stalls.
        caller.send(ForwardFixture::request("/once/a", "left"));
        pause(20);
        secondBlocker.send(stallRequest(300));
        fixture.waitUntilResumed();
        pause(50);
        caller.close();
        REQUIRE(secondBlocker.readMessage(5000).starts_with("HTTP/1.1 404 "));
        pause(50);
        CHECK(sendsOf(endpoint, "left") == 0);
    }

    TEST_CASE("a request whose caller left while it failed is not sent again")
    {
        // Refusals can be retried on all kinds, failures of a run on idempotent ones.
        for (std::string path : {"/once/a", "/safe/a", "/events/a"}) {
            CAPTURE(path);
            FakeEndpoint::Behaviour refuse = [](RawSocket& socket, const std::string& request) {
                if (fieldOf(request, "Id") == "first")
                    return answerOk(socket, request);
                pause(200);
                socket.send("HTTP/1.1 503 Full\r\nId: " + fieldOf(request, "Id")
                    + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            };
            FakeEndpoint first(refuse);
            FakeEndpoint second(refuse);
            Fixture fixture;
            fixture.setEndpoints({&first, &second});
            fixture.keepConnections(2);
            RawSocket caller = fixture.warmConnection();
            caller.send(ForwardFixture::request(path, "left"));
            REQUIRE(waitFor([&] { return sendsOf(first, "left") + sendsOf(second, "left") == 1; }, 1000));
            fixture.stall(400);
            // After the endpoint's reply, so that the thread handles that first.
            pause(200);
            caller.close();
            fixture.waitUntilResumed();
            pause(50);
            CHECK(sendsOf(first, "left") + sendsOf(second, "left") == 1);
        }
    }

    TEST_CASE("a stream whose caller left while it broke off is not resumed")
    {
        FakeEndpoint::Behaviour breakOff = [](RawSocket& socket, const std::string& request) {
            if (fieldOf(request, "Id") == "first")
                return answerOk(socket, request);
            socket.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id")
                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf("id: 1\ndata: x\n\n"));
            pause(200);
            return false;
        };
        FakeEndpoint first(breakOff);
        FakeEndpoint second(breakOff);
        Fixture fixture;
        fixture.setEndpoints({&first, &second});
        fixture.keepConnections(2);
        RawSocket caller = fixture.warmConnection();
        caller.send(ForwardFixture::request("/events/a", "left"));
        REQUIRE(caller.readUntil("data: x\n\n").ends_with("data: x\n\n"));
        fixture.stall(400);
        // After the endpoint's reply, so that the thread handles that first.
        pause(200);
        caller.close();
        fixture.waitUntilResumed();
        pause(50);
        CHECK(sendsOf(first, "left") + sendsOf(second, "left") == 1);
    }

    TEST_CASE("a prompt whose caller left while it was prefilled is not run")
    {
        FakeEndpoint prefill([](RawSocket& socket, const std::string& request) {
            pause(200);
            socket.send(answerTo(request, "handle"));
            return true;
        });
        FakeEndpoint decode(answerOk);
        Fixture fixture;
        fixture.setEngines({{&prefill, EngineRole::Prefill}, {&decode, EngineRole::Decode}});
        fixture.keepConnections(1);
        RawSocket caller = fixture.warmConnection();
        caller.send(ForwardFixture::request("/prompt/a", "left", "", "Tokens: 5000\r\nParts: a1 b1\r\n"));
        REQUIRE(waitFor([&] { return sendsOf(prefill, "left") == 1; }, 1000));
        fixture.stall(400);
        // After the endpoint's reply, so that the thread handles that first.
        pause(200);
        caller.close();
        fixture.waitUntilResumed();
        pause(50);
        CHECK(sendsOf(decode, "left") == 0);
    }

    TEST_CASE(
        "the time for which a request lay unread is taken off its time, and it is refused if none is left")
    {
        for (int limit : {300, 1500}) {
            CAPTURE(limit);
            FakeEndpoint endpoint(answerOk);
            Fixture fixture;
            fixture.setEndpoints({&endpoint});
            RawSocket caller = fixture.warmConnection();
            fixture.stall(800);
            caller.send(
                ForwardFixture::request("/once/a", "waits", "", "Limit: " + std::to_string(limit) + "\r\n"));
            std::string reply = caller.readMessage();
            if (limit < 700) {
                CHECK(reply.starts_with("HTTP/1.1 503 "));
                CHECK_FALSE(fieldOf(reply, "Retry-After").empty());
                CHECK(sendsOf(endpoint, "waits") == 0);
            } else {
                CHECK(reply.ends_with("fine"));
                REQUIRE(endpoint.requests().size() == 1);
                int passedOn = std::atoi(fieldOf(endpoint.requests()[0], "Limit").c_str());
                // Of the stall, the 100 ms between two timers can't be told from time on time.
                CHECK(passedOn <= limit - 600);
                CHECK(passedOn > 0);
            }
        }
    }

    TEST_CASE("requests that a caller pipelines are answered in order")
    {
        FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
            pause(30);
            socket.send(answerTo(request, "to " + fieldOf(request, "Id")));
            return true;
        });
        Fixture fixture;
        fixture.setEndpoints({&endpoint});
        RawSocket caller = fixture.connect();
        std::string all;
        for (int number = 0; number < 5; ++number)
            all += ForwardFixture::request("/once/a", "r" + std::to_string(number), std::string(50000, 'b'));
        std::thread sender([&] { caller.send(all); });
        for (int number = 0; number < 5; ++number)
            CHECK(caller.readMessage().ends_with("to r" + std::to_string(number)));
        sender.join();
    }
}

} // namespace ragwortwinch
