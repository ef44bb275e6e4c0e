// What replies to orders and usage reports say about their outcome.
#include "ragwortwinch/fleet/order_sender.h"
#include "testing/forward/fake_endpoint.h"

#include <doctest/doctest.h>
#include <future>

namespace ragwortwinch {
namespace {

using testing::FakeEndpoint;
using testing::RawSocket;

SendOutcome outcomeOf(const std::string& reply)
{
    FakeEndpoint receiver([&](RawSocket& socket, const std::string&) {
        socket.send(reply);
        return false;
    });
    OrderSender sender(Millis(1000));
    std::promise<SendOutcome> outcome;
    sender.post({"http://127.0.0.1:" + std::to_string(receiver.port()) + "/usage", "{}", {},
                    SystemClock().now() + Millis(10000)},
        [&](SendOutcome value) { outcome.set_value(value); });
    return outcome.get_future().get();
}

std::string replyWith(const std::string& status, const std::string& field = "")
{
    return "HTTP/1.1 " + status + " Answer\r\n" + field + "Content-Length: 2\r\n\r\n{}";
}

TEST_CASE("an order is applied after a success, refused after 4xx and unknown otherwise")
{
    CHECK(outcomeOf(replyWith("202")) == SendOutcome::Applied);
    CHECK(outcomeOf(replyWith("412")) == SendOutcome::Refused);
    for (const std::string status : {"000", "101", "302", "500", "999"}) {
        CAPTURE(status);
        CHECK(outcomeOf(replyWith(status)) == SendOutcome::Unknown);
    }
    CHECK(outcomeOf("") == SendOutcome::Unknown);
}

// Guards against a usage window that counts as reported after bytes that are no answer of the platform.
TEST_CASE("the outcome of an order is unknown after a reply whose head is invalid")
{
    for (const std::string field : {"X Field: 1\r\n", "X\x01Field: 1\r\n", "X-Field : 1\r\n"}) {
        for (const std::string status : {"200", "409"}) {
            CAPTURE(field);
            CAPTURE(status);
            CHECK(outcomeOf(replyWith(status, field)) == SendOutcome::Unknown);
        }
    }
}

} // namespace
} // namespace ragwortwinch
