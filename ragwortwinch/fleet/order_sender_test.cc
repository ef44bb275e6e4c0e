#include "ragwortwinch/fleet/order_sender.h"

#include "ragwortwinch/base/mechanism.h"
#include "testing/process/process_group.h"

#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ragwortwinch {
namespace {

constexpr Millis sendBound{40};
constexpr Millis leaseRemaining{60};

// Listens on an ephemeral port.
int listenOn(std::uint16_t& port)
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(descriptor, 16) == 0);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

// Runs in a child process, which stops itself between its check of the lease and its send.
void stopBeforeSend(std::uint16_t port)
{
    process::enterOwnProcessGroup();
    OrderSender sender(sendBound);
    sender.setPausePoint([] { raise(SIGSTOP); });
    std::promise<SendOutcome> outcome;
    sender.post(
        {fmt::format("http://127.0.0.1:{}/v1/orders", port), "{}", {}, SystemClock().now() + leaseRemaining},
        [&](SendOutcome value) { outcome.set_value(value); });
    outcome.get_future().get();
    _exit(0);
}

// Returns whether an order sent after the lease expired arrives, or nothing if the machine was so slow that
// the sender gave up before its pause point.
std::optional<bool> lateOrderArrives()
{
    std::uint16_t port = 0;
    int listener = listenOn(port);
    pid_t child = fork();
    if (child == 0)
        stopBeforeSend(port);
    int status = 0;
    waitpid(child, &status, WUNTRACED);
    if (!WIFSTOPPED(status)) {
        close(listener);
        return std::nullopt;
    }
    std::this_thread::sleep_for(leaseRemaining + Millis(10));
    kill(child, SIGCONT);
    waitpid(child, &status, 0);
    REQUIRE_MESSAGE((WIFEXITED(status) && WEXITSTATUS(status) == 0), "status ", status);
    timeval wait{0, 1000};
    setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    int accepted = accept(listener, nullptr, nullptr);
    char buffer[16];
    bool hasArrived = accepted >= 0 && recv(accepted, buffer, sizeof(buffer), 0) > 0;
    if (accepted >= 0)
        close(accepted);
    close(listener);
    return hasArrived;
}

int countLate(int repeats)
{
    int count = 0;
    for (int stopped = 0; stopped < repeats;) {
        if (std::optional<bool> isLate = lateOrderArrives()) {
            ++stopped;
            count += *isLate ? 1 : 0;
        }
    }
    return count;
}

TEST_CASE(
    "a process stopped between its lease check and its send never sends after the lease has expired; with "
    "Mechanism::CloseOnExpiry off it does")
{
    {
        ScopedDisable off(Mechanism::CloseOnExpiry);
        CHECK(countLate(10) > 0);
    }
    CHECK(countLate(200) == 0);
}

TEST_CASE("nothing is sent if the lease expires before the send could end")
{
    std::uint16_t port = 0;
    int listener = listenOn(port);
    OrderSender sender(sendBound);
    std::promise<SendOutcome> outcome;
    sender.post({fmt::format("http://127.0.0.1:{}/", port), "{}", {}, SystemClock().now() + sendBound / 2},
        [&](SendOutcome value) { outcome.set_value(value); });
    CHECK(outcome.get_future().get() == SendOutcome::Unknown);
    timeval wait{0, 1000};
    setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    CHECK(accept(listener, nullptr, nullptr) == -1);
    close(listener);
}

} // namespace
} // namespace ragwortwinch
