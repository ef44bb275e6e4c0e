// How attempts end whose connection is lost.
#include "ragwortwinch/forward/attempt.h"

#include "testing/forward/fake_codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <doctest/doctest.h>
#include <functional>

namespace ragwortwinch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Resets the endpoint's side of the connection before the request is sent, or leaves it open.
class ResettingListener final : public AttemptListener {
public:
    explicit ResettingListener(std::function<void()> beforeSend)
        : beforeSend_(std::move(beforeSend))
    {
    }
    bool cancelIfUnwanted() override
    {
        beforeSend_();
        return false;
    }
    void onReplyHead(int, std::string_view, const HttpFields&) override { }
    void onReplyBody(std::string) override { }
    void onAttemptEnd(AttemptEnd end) override { end_ = end; }
    const std::optional<AttemptEnd>& end() const { return end_; }

private:
    std::function<void()> beforeSend_;
    std::optional<AttemptEnd> end_;
};

void resetConnection(tcp::socket& socket)
{
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

// Sends a request to an endpoint that resets the connection, either before the request is sent or after the
// endpoint has read a part of it.
std::optional<AttemptEnd> endOfReset(bool isBeforeSend)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket peer(context);
    UpstreamPointer endpoint = std::make_shared<UpstreamEndpoint>();
    endpoint->socketAddress = acceptor.local_endpoint();
    ChannelPool pool;
    testing::FakeCodec codec;
    SystemClock clock;
    AttemptOptions options;
    options.connectTimeout = Millis(1000);
    options.firstByteTimeout = Millis(1000);
    ResettingListener listener([&] {
        acceptor.accept(peer);
        if (isBeforeSend)
            resetConnection(peer);
    });
    char first = 0;
    std::shared_ptr<Attempt> attempt
        = std::make_shared<Attempt>(context, pool, codec, clock, endpoint, options, listener);
    attempt->start("POST / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>("body"));
    while (!listener.end() && context.run_one_for(std::chrono::milliseconds(1500)) > 0) {
        if (isBeforeSend || first || !peer.is_open())
            continue;
        asio::read(peer, asio::buffer(&first, 1));
        resetConnection(peer);
    }
    return listener.end();
}

// Guards against 502 for requests that can't have run, as no byte of them was written.
TEST_CASE("a request on a connection that was reset before the request was written counts as not sent")
{
    for (int run = 0; run < 20; ++run)
        CHECK(endOfReset(true) == AttemptEnd::NotSent);
}

// Guards against running a request twice that the endpoint may have read.
TEST_CASE("a request on a connection that is reset after it was written may have run")
{
    for (int run = 0; run < 20; ++run)
        CHECK(endOfReset(false) == AttemptEnd::Broken);
}

} // namespace
} // namespace ragwortwinch
