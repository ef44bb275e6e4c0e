// Closes the sockets of a lease holder when its authority ends, so that a process that was paused between its
// check and its send can't send late. Authority is the time in which the holder of a lease may act on it.
//
//     LeaseExpiryGuard guard;                       // on the thread that sends
//     LeaseExpiryGuard::Arming arming(guard, keeper.authorityEnd());
//     int socket = guard.openSocket(AF_INET, SOCK_STREAM, 0);
//     ...connect, send...                           // fail once authority has ended
//
// A kernel timer on CLOCK_BOOTTIME signals the sending thread when authority ends. The signal handler shuts
// the registered sockets down and replaces their descriptors by /dev/null. A signal that is pending for a
// stopped thread is handled before the thread runs another instruction of its own, so a process that resumes
// late finds its sockets closed. Bytes that the kernel accepted before may still arrive: the quiet period of
// the next holder covers those.
//
// Where the kernel gives no such timer, the guard falls back to the clock: `hasAuthority` is checked when a
// socket is opened and again right before the first byte is sent. A process that is stopped between that
// check and its send may then send late; the quiet period of the next holder covers the sends that were in
// progress.
//
// Not covered: a pause of the whole VM during which CLOCK_BOOTTIME stands still. See
// docs/design/authority.md.
#pragma once

#include "ragwortwinch/base/time.h"

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>

namespace ragwortwinch {

// Bound to the thread that constructs it; at most one per thread.
class LeaseExpiryGuard {
public:
    // How the end of authority is detected. `ClockOnly` forces the fallback to the clock.
    enum class Source { KernelTimer, ClockOnly };
    explicit LeaseExpiryGuard(Source source = Source::KernelTimer);
    ~LeaseExpiryGuard();
    LeaseExpiryGuard(const LeaseExpiryGuard&) = delete;
    LeaseExpiryGuard& operator=(const LeaseExpiryGuard&) = delete;

    // Arms the guard for its lifetime.
    class Arming {
    public:
        Arming(LeaseExpiryGuard& guard, Instant authorityEnd);
        ~Arming();
        Arming(const Arming&) = delete;
        Arming& operator=(const Arming&) = delete;

    private:
        LeaseExpiryGuard& guard_;
    };

    // Opens a guarded socket. Returns -1 if the guard is not armed, authority has ended, `maxSockets` are
    // open or the operating system refuses.
    int openSocket(int family, int type, int protocol);
    void closeSocket(int socket);
    // True once the kernel timer has ended authority, and while the guard is not armed.
    bool isExpired() const { return isExpired_.load(); }
    // Whether authority still lasts by the clock; check it right before a send. Always true while
    // Mechanism::CloseOnExpiry is off.
    bool hasAuthority() const;
    bool hasKernelTimer() const { return hasKernelTimer_; }

private:
    static void onSignal(int, siginfo_t*, void*);
    void arm(Instant authorityEnd);
    void disarm();
    void expire();

    static constexpr std::size_t maxSockets = 8;

    timer_t timer_{};
    bool hasKernelTimer_ = false;
    Instant authorityEnd_;
    int nullDescriptor_ = -1;
    std::atomic<bool> isExpired_{true};
    std::array<std::atomic<int>, maxSockets> sockets_;
};

} // namespace ragwortwinch
