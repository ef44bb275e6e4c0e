// Crashes of endpoints and prompt parts in quarantine, through a ForwardServer.
#include "testing/forward/forward_fixture.h"
#include "testing/forward/wait_for.h"

#include <doctest/doctest.h>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace ragwortwinch {
namespace {

using testing::answerTo;
using testing::FakeEndpoint;
using testing::ForwardFixture;
using testing::RawSocket;
using testing::waitFor;

class RecordingListener final : public CrashListener {
public:
    void onCrash(const EndpointCrash& crash, bool isConfirmed) override
    {
        std::lock_guard<std::mutex> lock(mutex_);
        crashes_.emplace_back(crash, isConfirmed);
    }
    void onAnswered(TraitId part, Instant) override
    {
        std::lock_guard<std::mutex> lock(mutex_);
        answered_.push_back(part);
    }
    std::vector<std::pair<EndpointCrash, bool>> crashes() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return crashes_;
    }
    std::vector<TraitId> answered() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return answered_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::pair<EndpointCrash, bool>> crashes_;
    std::vector<TraitId> answered_;
};

std::string prompt(const std::string& path, const std::string& id, const std::string& parts)
{
    return ForwardFixture::request(path, id, "", "Parts: " + parts + "\r\n");
}

TEST_CASE("an endpoint that refuses connections after it broke a prompt off has crashed")
{
    RecordingListener listener;
    ForwardFixture fixture(&listener);
    fixture.setConfig(ForwardFixture::sampleConfig());
    std::unique_ptr<FakeEndpoint> endpoint
        = std::make_unique<FakeEndpoint>([](RawSocket& socket, const std::string&) {
              bool hasClosed = false;
              socket.readToEnd(hasClosed, 300);
              return false;
          });
    fixture.setEndpoints({endpoint.get()});
    RawSocket caller = fixture.connect();
    caller.send(prompt("/single/a", "r1", "a1 b2 c3"));
    REQUIRE(waitFor([&] { return endpoint->requests().size() == 1; }, 1000));
    // Stops listening at once; the connection is closed later.
    endpoint.reset();
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    REQUIRE(waitFor([&] { return listener.crashes().size() == 1; }, 1000));
    const auto [crash, isConfirmed] = listener.crashes()[0];
    CHECK(isConfirmed);
    CHECK(crash.endpoint == "e0");
    REQUIRE(crash.requests.size() == 1);
    // The request as a whole comes first.
    REQUIRE(crash.requests[0].traits.size() == 3);
    CHECK(crash.requests[0].traits[1] == 0xa1);
    CHECK(crash.requests[0].traits[2] == 0xb2);
}

TEST_CASE("a broken connection to an endpoint that still listens is no confirmed crash")
{
    RecordingListener listener;
    ForwardFixture fixture(&listener);
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string&) {
        socket.reset();
        return false;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(prompt("/single/a", "r1", "a1 c3"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    REQUIRE(waitFor([&] { return listener.crashes().size() == 1; }, 1000));
    CHECK_FALSE(listener.crashes()[0].second);
}

TEST_CASE("an invalid reply is no crash")
{
    RecordingListener listener;
    ForwardFixture fixture(&listener);
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string&) {
        socket.send("garbage garbage\r\n\r\n");
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(prompt("/single/a", "r1", "a1 c3"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(listener.crashes().empty());
}

TEST_CASE("a prompt with a part in quarantine is refused at once and reaches no endpoint; others are served")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "id: 1\ndata: a\n\n"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    fixture.server().setQuarantine({{0xb2, SystemClock().now() + Millis(60000)}}, {});
    RawSocket caller = fixture.connect();
    caller.send(prompt("/single/a", "r1", "a1 b2 c3"));
    std::string refusal = caller.readMessage();
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(refusal.find("quarantined") != std::string::npos);
    CHECK(endpoint.requests().empty());
    // The last part belongs to the prompt alone.
    caller.send(prompt("/single/a", "r2", "a1 b2"));
    CHECK(caller.readUntil("data: a\n\n").starts_with("HTTP/1.1 200 "));
    CHECK(endpoint.requests().size() == 1);
}

ForwardRequest plainRequest()
{
    ForwardRequest request;
    request.method = "POST";
    request.target = "/lookup/a?b=c";
    request.body = "body";
    request.caller.id = "r1";
    request.caller.key = "key";
    return request;
}

TEST_CASE("a request is the same as a whole in each try of its caller, and differs from all others")
{
    TraitId first = RequestTraits(plainRequest()).whole();
    ForwardRequest again = plainRequest();
    again.caller.id = "r2";
    again.caller.timeLimit = Millis(700);
    again.fields.set("Other", "value");
    CHECK(RequestTraits(again).whole() == first);
    std::set<TraitId> others;
    ForwardRequest other = plainRequest();
    other.method = "GET";
    others.insert(RequestTraits(other).whole());
    other = plainRequest();
    // The same bytes, cut elsewhere.
    other.target += "b";
    other.body = "ody";
    others.insert(RequestTraits(other).whole());
    other = plainRequest();
    other.body += "x";
    others.insert(RequestTraits(other).whole());
    for (const char* key : {"", "other"}) {
        other = plainRequest();
        other.caller.key = key;
        others.insert(RequestTraits(other).whole());
    }
    CHECK(others.size() == 5);
    CHECK_FALSE(others.contains(first));
}

TEST_CASE("a request in quarantine as a whole is refused as not run, and one with another body is served")
{
    ForwardFixture fixture;
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "fine"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    ForwardRequest harmful = plainRequest();
    harmful.target = "/once/a";
    harmful.body = "harm";
    fixture.server().setQuarantine(
        {{RequestTraits(harmful).whole(), SystemClock().now() + Millis(60000)}}, {});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/once/a", "r1", "harm"));
    std::string refusal = caller.readMessage();
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(refusal.find("not run") != std::string::npos);
    CHECK(endpoint.requests().empty());
    caller.send(ForwardFixture::request("/once/a", "r2", "sound"));
    CHECK(caller.readMessage().ends_with("fine"));
}

TEST_CASE("a request under which two endpoints have ended is not offered to a third one")
{
    std::atomic<int> arrivals{0};
    auto crash = [&](RawSocket&, const std::string&) {
        ++arrivals;
        return false;
    };
    FakeEndpoint first(crash);
    FakeEndpoint second(crash);
    FakeEndpoint third(crash);
    FakeEndpoint fourth(crash);
    ForwardFixture fixture;
    TrafficConfig config = ForwardFixture::sampleConfig();
    for (TrafficRoute& route : config.routes)
        route.maxEndpoints = 4;
    fixture.setConfig(config);
    fixture.setEndpoints({&first, &second, &third, &fourth});
    RawSocket caller = fixture.connect();
    caller.send(ForwardFixture::request("/safe/a", "r1"));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 502 "));
    CHECK(arrivals.load() == 2);
}

TEST_CASE("answers to prompts with suspected parts are reported, also those from before the suspicion")
{
    RecordingListener listener;
    ForwardFixture fixture(&listener);
    fixture.setConfig(ForwardFixture::sampleConfig());
    FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
        socket.send(answerTo(request, "id: 1\ndata: a\n\n"));
        return true;
    });
    fixture.setEndpoints({&endpoint});
    RawSocket caller = fixture.connect();
    caller.send(prompt("/single/a", "r1", "a1 b2 c3"));
    CHECK(caller.readUntil("0\r\n\r\n").starts_with("HTTP/1.1 200 "));
    CHECK(listener.answered().empty());
    fixture.server().setQuarantine({}, {0xa1, 0xd4});
    REQUIRE(waitFor([&] { return listener.answered().size() == 1; }, 1000));
    CHECK(listener.answered()[0] == 0xa1);
    caller.send(prompt("/single/a", "r2", "d4 c3"));
    CHECK(caller.readUntil("0\r\n\r\n").starts_with("HTTP/1.1 200 "));
    REQUIRE(waitFor([&] { return listener.answered().size() == 2; }, 1000));
    CHECK(listener.answered()[1] == 0xd4);
}

} // namespace
} // namespace ragwortwinch
