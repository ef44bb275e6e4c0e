#include "ragwortwinch/lease/lease_expiry_guard.h"

#include "testing/process/process_group.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace ragwortwinch {
namespace {

constexpr Millis authorityDuration{30};

// `Off` arms the guard for an hour, so that it has no effect.
enum class Guard { On, Off };
enum class PausePoint { BeforeConnect, BeforeSend };

// Exit status of a sender whose authority ended before its pause point, as on a slow machine.
constexpr int endedBeforePause = 2;

// The errno of each step of the sender: 0 on success, -1 if the step was not reached.
struct SenderReport {
    int openError = -1;
    int connectError = -1;
    int sendError = -1;
    // The sender's own port, in network byte order.
    in_port_t port = 0;
};

sockaddr_in loopback(in_port_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = port;
    return address;
}

in_port_t localPort(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    return getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 ? address.sin_port : 0;
}

int errorOf(ssize_t result) { return result < 0 ? errno : 0; }

int bindTo(int descriptor, in_port_t port)
{
    sockaddr_in address = loopback(port);
    return errorOf(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

int connectTo(int descriptor, in_port_t port)
{
    sockaddr_in address = loopback(port);
    return errorOf(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

void requireSuccess(const char* step, int error)
{
    REQUIRE_MESSAGE(error == 0, step, ": ", std::strerror(error));
}

struct Listener {
    Listener()
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
        , marker(socket(AF_INET, SOCK_STREAM, 0))
    {
        requireSuccess("listener: socket", errorOf(descriptor));
        requireSuccess("listener: bind", bindTo(descriptor, 0));
        requireSuccess("listener: listen", errorOf(listen(descriptor, 16)));
        port = localPort(descriptor);
        REQUIRE(port != 0);
        // Bound before the sender starts, so that the two never share a port.
        requireSuccess("marker: socket", errorOf(marker));
        requireSuccess("marker: bind", bindTo(marker, 0));
        markerPort = localPort(marker);
        REQUIRE(markerPort != 0);
    }
    ~Listener()
    {
        close(marker);
        close(descriptor);
    }
    int descriptor;
    in_port_t port = 0;
    // Socket of the marker connection, which is made after the sender has exited.
    int marker;
    in_port_t markerPort = 0;
};

// Runs in a child process: checks its authority, is stopped, and sends after it is continued.
void sendAfterPause(in_port_t port, Guard guardMode, PausePoint pausePoint, int reportPipe)
{
    process::enterOwnProcessGroup();
    SystemClock clock;
    LeaseExpiryGuard guard;
    SenderReport report;
    auto write = [&] { static_cast<void>(!::write(reportPipe, &report, sizeof(report))); };
    auto pause = [&] {
        write();
        if (!guard.hasAuthority())
            _exit(endedBeforePause);
        raise(SIGSTOP);
    };
    Instant end
        = guardMode == Guard::On ? clock.now() + authorityDuration : clock.now() + std::chrono::hours(1);
    LeaseExpiryGuard::Arming arming(guard, end);
    errno = 0;
    int descriptor = guard.openSocket(AF_INET, SOCK_STREAM, 0);
    report.openError = errorOf(descriptor);
    // Bound before the pause, so that the port identifies its connection.
    if (descriptor >= 0 && bindTo(descriptor, 0) == 0)
        report.port = localPort(descriptor);
    if (pausePoint == PausePoint::BeforeConnect)
        pause();
    report.connectError = connectTo(descriptor, port);
    if (pausePoint == PausePoint::BeforeSend)
        pause();
    report.sendError = errorOf(send(descriptor, "order", 5, MSG_NOSIGNAL));
    write();
    _exit(0);
}

// Reads until the connection ends, as it does once the sender has exited; returns whether any byte arrived.
bool carriesBytes(int connection)
{
    char buffer[8];
    ssize_t size = 0;
    bool carries = false;
    while ((size = recv(connection, buffer, sizeof(buffer), 0)) > 0 || (size < 0 && errno == EINTR))
        carries = carries || size > 0;
    return carries;
}

// Returns whether bytes arrived from the sender, which has exited. Uses no timeout: accepts until it has seen
// a marker connection made now and, if the sender's connect succeeded, the sender's own connection.
bool readsOrder(const Listener& listener, const SenderReport& report)
{
    requireSuccess("marker: connect", connectTo(listener.marker, listener.port));
    bool awaitsMarker = true;
    bool awaitsSender = report.connectError == 0;
    bool hasArrived = false;
    while (awaitsMarker || awaitsSender) {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        int accepted = accept(listener.descriptor, reinterpret_cast<sockaddr*>(&peer), &size);
        if (accepted < 0 && errno == EINTR)
            continue;
        requireSuccess("accept", errorOf(accepted));
        if (peer.sin_port == listener.markerPort) {
            awaitsMarker = false;
        } else if (peer.sin_port == report.port) {
            awaitsSender = false;
            hasArrived = carriesBytes(accepted);
        } else {
            MESSAGE("a connection of another process, from port ", ntohs(peer.sin_port));
        }
        close(accepted);
    }
    return hasArrived;
}

// Returns the last report of a sender that has exited.
SenderReport lastReport(int reportPipe)
{
    SenderReport report;
    while (read(reportPipe, &report, sizeof(report)) == sizeof(report)) { }
    close(reportPipe);
    return report;
}

// Returns whether the order arrived although its sender was continued after authority had ended; nullopt if
// authority had ended before the pause point.
std::optional<bool> lateOrderArrives(Guard guardMode, PausePoint pausePoint)
{
    Listener listener;
    int reportPipe[2];
    requireSuccess("pipe", errorOf(pipe(reportPipe)));
    pid_t child = fork();
    if (child == 0)
        sendAfterPause(listener.port, guardMode, pausePoint, reportPipe[1]);
    requireSuccess("fork", errorOf(child));
    close(reportPipe[1]);
    int status = 0;
    REQUIRE(waitpid(child, &status, WUNTRACED) == child);
    if (guardMode == Guard::On && WIFEXITED(status) && WEXITSTATUS(status) == endedBeforePause) {
        close(reportPipe[0]);
        return std::nullopt;
    }
    REQUIRE_MESSAGE(WIFSTOPPED(status), "status ", status);
    std::this_thread::sleep_for(authorityDuration + Millis(5));
    requireSuccess("kill", errorOf(kill(child, SIGCONT)));
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE_MESSAGE((WIFEXITED(status) && WEXITSTATUS(status) == 0), "status ", status);
    SenderReport report = lastReport(reportPipe[0]);
    // Steps before the pause must succeed. Steps after it either succeed or return ENOTSOCK because the guard
    // has replaced the descriptor, in which case the kernel sent nothing.
    requireSuccess("sender: open", report.openError);
    REQUIRE(report.port != 0);
    if (guardMode == Guard::Off || pausePoint == PausePoint::BeforeSend)
        requireSuccess("sender: connect", report.connectError);
    if (guardMode == Guard::Off)
        requireSuccess("sender: send", report.sendError);
    if (report.connectError != ENOTSOCK)
        requireSuccess("sender: connect", report.connectError);
    if (report.sendError != ENOTSOCK)
        requireSuccess("sender: send", report.sendError);
    bool hasArrived = readsOrder(listener, report);
    REQUIRE(hasArrived == (report.sendError == 0));
    return hasArrived;
}

int countLateOrders(Guard guardMode, PausePoint pausePoint, int repeats)
{
    int count = 0;
    for (int stopped = 0; stopped < repeats;) {
        if (std::optional<bool> isLate = lateOrderArrives(guardMode, pausePoint)) {
            ++stopped;
            count += *isLate ? 1 : 0;
        }
    }
    return count;
}

TEST_CASE("without the guard an order of a stopped holder arrives late")
{
    CHECK(countLateOrders(Guard::Off, PausePoint::BeforeSend, 20) == 20);
    CHECK(countLateOrders(Guard::Off, PausePoint::BeforeConnect, 20) == 20);
}

// Runs `command` in a process group that becomes orphaned while `command` runs: as the job of a shell that
// ends meanwhile. Returns what `command` returns, or -1.
template <typename Command> int runAsOrphanedJob(Command command)
{
    int result[2];
    requireSuccess("pipe", errorOf(pipe(result)));
    pid_t shell = fork();
    if (shell == 0) {
        setsid();
        pid_t job = fork();
        if (job == 0) {
            setpgid(0, 0);
            int code = command();
            _exit(write(result[1], &code, sizeof(code)) == sizeof(code) ? 0 : 1);
        }
        // The sender of the job stops within this time, and is continued after it.
        std::this_thread::sleep_for(authorityDuration);
        _exit(0);
    }
    requireSuccess("fork", errorOf(shell));
    close(result[1]);
    int code = -1;
    bool hasCode = read(result[0], &code, sizeof(code)) == sizeof(code);
    close(result[0]);
    waitpid(shell, nullptr, 0);
    return hasCode ? code : -1;
}

TEST_CASE("a stopped sender outlives the shell that started its test")
{
    constexpr int exitedNormally = 0;
    Listener listener;
    int nullDescriptor = open("/dev/null", O_WRONLY);
    int code = runAsOrphanedJob([&] {
        pid_t child = fork();
        if (child == 0)
            sendAfterPause(listener.port, Guard::Off, PausePoint::BeforeSend, nullDescriptor);
        int status = 0;
        waitpid(child, &status, WUNTRACED);
        std::this_thread::sleep_for(authorityDuration * 3);
        kill(child, SIGCONT);
        waitpid(child, &status, 0);
        return WIFEXITED(status) && WEXITSTATUS(status) == 0 ? exitedNormally : status;
    });
    CHECK(code == exitedNormally);
    close(nullDescriptor);
}

// Processes of other tests dial peers that have ended, whose port the kernel may have given to the listener.
TEST_CASE("an order is found behind connections of other processes")
{
    Listener listener;
    int foreign = socket(AF_INET, SOCK_STREAM, 0);
    requireSuccess("foreign: connect", connectTo(foreign, listener.port));
    int sender = socket(AF_INET, SOCK_STREAM, 0);
    SenderReport report;
    report.openError = errorOf(sender);
    requireSuccess("sender: bind", bindTo(sender, 0));
    report.port = localPort(sender);
    report.connectError = connectTo(sender, listener.port);
    report.sendError = errorOf(send(sender, "order", 5, MSG_NOSIGNAL));
    close(sender);
    close(foreign);
    CHECK(readsOrder(listener, report));
    CHECK(report.sendError == 0);
}

TEST_CASE("with the guard no order of a stopped holder arrives late" * doctest::test_suite("late_order"))
{
    CHECK(countLateOrders(Guard::On, PausePoint::BeforeSend, 200) == 0);
    CHECK(countLateOrders(Guard::On, PausePoint::BeforeConnect, 200) == 0);
}

TEST_CASE("a guard opens no socket before it is armed or after authority has ended")
{
    LeaseExpiryGuard guard;
    CHECK(guard.openSocket(AF_INET, SOCK_STREAM, 0) == -1);
    LeaseExpiryGuard::Arming arming(guard, SystemClock().now() - Millis(1));
    while (!guard.isExpired())
        std::this_thread::yield();
    CHECK(guard.openSocket(AF_INET, SOCK_STREAM, 0) == -1);
}

} // namespace
} // namespace ragwortwinch
