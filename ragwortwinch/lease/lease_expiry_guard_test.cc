#include "ragwortwinch/lease/lease_expiry_guard.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace ragwortwinch {
namespace {

constexpr Millis authority{30};

enum class Fuse { On, Off };
enum class PausePoint { BeforeConnect, BeforeSend };

struct Listener {
    Listener()
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        listen(descriptor, 16);
        socklen_t size = sizeof(address);
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        port = address.sin_port;
    }
    ~Listener() { close(descriptor); }
    int descriptor;
    in_port_t port = 0;
};

// Runs in a process of its own: checks its authority, is stopped, and then sends.
void sendAfterPause(in_port_t port, Fuse use, PausePoint pausePoint)
{
    SystemClock clock;
    LeaseExpiryGuard fuse;
    Instant end = use == Fuse::On ? clock.now() + authority : clock.now() + std::chrono::hours(1);
    LeaseExpiryGuard::Arming arming(fuse, end);
    int descriptor = fuse.openSocket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = port;
    if (pausePoint == PausePoint::BeforeConnect)
        raise(SIGSTOP);
    static_cast<void>(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    if (pausePoint == PausePoint::BeforeSend)
        raise(SIGSTOP);
    static_cast<void>(!send(descriptor, "order", 5, MSG_NOSIGNAL));
    _exit(0);
}

// Returns whether the order arrived although its sender was continued after the end of its authority.
bool lateOrderArrives(Fuse use, PausePoint pausePoint)
{
    Listener listener;
    pid_t child = fork();
    if (child == 0)
        sendAfterPause(listener.port, use, pausePoint);
    int status = 0;
    waitpid(child, &status, WUNTRACED);
    REQUIRE(WIFSTOPPED(status));
    std::this_thread::sleep_for(authority + Millis(5));
    kill(child, SIGCONT);
    waitpid(child, &status, 0);
    timeval wait{0, 1000};
    setsockopt(listener.descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    int accepted = accept(listener.descriptor, nullptr, nullptr);
    char buffer[8];
    bool hasArrived = accepted >= 0 && recv(accepted, buffer, sizeof(buffer), 0) > 0;
    if (accepted >= 0)
        close(accepted);
    return hasArrived;
}

int countLateOrders(Fuse use, PausePoint pausePoint, int repeats)
{
    int count = 0;
    for (int index = 0; index < repeats; ++index)
        count += lateOrderArrives(use, pausePoint) ? 1 : 0;
    return count;
}

TEST_CASE("without the fuse a stopped holder's order arrives late")
{
    CHECK(countLateOrders(Fuse::Off, PausePoint::BeforeSend, 20) == 20);
    CHECK(countLateOrders(Fuse::Off, PausePoint::BeforeConnect, 20) == 20);
}

TEST_CASE("with the fuse no order of a stopped holder arrives late")
{
    CHECK(countLateOrders(Fuse::On, PausePoint::BeforeSend, 200) == 0);
    CHECK(countLateOrders(Fuse::On, PausePoint::BeforeConnect, 200) == 0);
}

TEST_CASE("a fuse opens no socket before it is armed or after it has blown")
{
    LeaseExpiryGuard fuse;
    CHECK(fuse.openSocket(AF_INET, SOCK_STREAM, 0) == -1);
    LeaseExpiryGuard::Arming arming(fuse, SystemClock().now() - Millis(1));
    while (!fuse.isBlown())
        std::this_thread::yield();
    CHECK(fuse.openSocket(AF_INET, SOCK_STREAM, 0) == -1);
}

} // namespace
} // namespace ragwortwinch
