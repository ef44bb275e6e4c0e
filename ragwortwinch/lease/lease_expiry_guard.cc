#include "ragwortwinch/lease/lease_expiry_guard.h"

#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/base/mechanism.h"

#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace ragwortwinch {

namespace {

// Bounds how long the kernel retransmits bytes that it has accepted.
constexpr unsigned int userTimeoutMillis = 1500;
constexpr int signalOffset = 3;

int expirySignal() { return SIGRTMIN + signalOffset; }

} // namespace

LeaseExpiryGuard::LeaseExpiryGuard(Source source)
{
    for (std::atomic<int>& socket : sockets_)
        socket.store(-1);
    nullDescriptor_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
    struct sigaction action { };
    action.sa_sigaction = &LeaseExpiryGuard::onSignal;
    action.sa_flags = SA_SIGINFO | SA_RESTART;
    sigaction(expirySignal(), &action, nullptr);
    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = expirySignal();
    event.sigev_value.sival_ptr = this;
    event._sigev_un._tid = static_cast<pid_t>(syscall(SYS_gettid));
    hasKernelTimer_ = source == Source::KernelTimer && nullDescriptor_ >= 0
        && timer_create(CLOCK_BOOTTIME, &event, &timer_) == 0;
    if (!hasKernelTimer_)
        LogEvent("authority.no_kernel_timer", Severity::Warning)
            .with("fallback", "clock")
            .with("remedy", "raise the limits on timers and open files where the kernel allows it");
}

LeaseExpiryGuard::~LeaseExpiryGuard()
{
    if (hasKernelTimer_)
        timer_delete(timer_);
    if (nullDescriptor_ >= 0)
        close(nullDescriptor_);
}

void LeaseExpiryGuard::onSignal(int, siginfo_t* info, void*)
{
    int savedErrno = errno;
    if (info->si_code == SI_TIMER)
        static_cast<LeaseExpiryGuard*>(info->si_value.sival_ptr)->expire();
    errno = savedErrno;
}

void LeaseExpiryGuard::expire()
{
    isExpired_.store(true);
    for (std::atomic<int>& entry : sockets_) {
        int socket = entry.load();
        if (socket < 0)
            continue;
        // shutdown has no effect on a socket that is not connected yet, so replace the descriptor too.
        shutdown(socket, SHUT_RDWR);
        dup2(nullDescriptor_, socket);
    }
}

void LeaseExpiryGuard::arm(Instant authorityEnd)
{
    authorityEnd_ = authorityEnd;
    isExpired_.store(false);
    if (!isEnabled(Mechanism::CloseOnExpiry) || !hasKernelTimer_)
        return;
    itimerspec when{};
    std::int64_t millis = authorityEnd.time_since_epoch().count();
    when.it_value.tv_sec = millis / 1000;
    when.it_value.tv_nsec = (millis % 1000) * 1000000;
    // Zero would disarm the timer.
    if (millis <= 0)
        when.it_value.tv_nsec = 1;
    timer_settime(timer_, TIMER_ABSTIME, &when, nullptr);
}

void LeaseExpiryGuard::disarm()
{
    if (hasKernelTimer_) {
        itimerspec never{};
        timer_settime(timer_, 0, &never, nullptr);
    }
    isExpired_.store(true);
}

LeaseExpiryGuard::Arming::Arming(LeaseExpiryGuard& guard, Instant authorityEnd)
    : guard_(guard)
{
    guard_.arm(authorityEnd);
}

LeaseExpiryGuard::Arming::~Arming() { guard_.disarm(); }

bool LeaseExpiryGuard::hasAuthority() const
{
    return !isEnabled(Mechanism::CloseOnExpiry) || SystemClock().now() < authorityEnd_;
}

int LeaseExpiryGuard::openSocket(int family, int type, int protocol)
{
    if (!hasAuthority())
        return -1;
    int socket = ::socket(family, type | SOCK_CLOEXEC, protocol);
    if (socket < 0)
        return -1;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMillis, sizeof(userTimeoutMillis));
    for (std::atomic<int>& entry : sockets_) {
        if (entry.load() >= 0)
            continue;
        entry.store(socket);
        // The signal may have been handled before the socket was registered.
        if (!isExpired_.load())
            return socket;
        entry.store(-1);
        break;
    }
    close(socket);
    return -1;
}

void LeaseExpiryGuard::closeSocket(int socket)
{
    for (std::atomic<int>& entry : sockets_) {
        int expected = socket;
        entry.compare_exchange_strong(expected, -1);
    }
    close(socket);
}

} // namespace ragwortwinch
