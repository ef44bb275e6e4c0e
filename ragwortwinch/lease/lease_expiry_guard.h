// Makes sure that nothing leaves this thread's sockets after authority has ended, even when the process was
// stopped between its check and its send.
//
//     LeaseExpiryGuard fuse;                       // on the thread that sends
//     LeaseExpiryGuard::Arming arming(fuse, keeper.authorityEnd());
//     int socket = fuse.openSocket(AF_INET, SOCK_STREAM, 0);
//     ...connect, send...                       // fails once the fuse has blown
//
// A kernel timer on CLOCK_BOOTTIME signals this very thread at the end of authority. The handler replaces the
// registered sockets by a dead descriptor. A signal that is pending for a stopped thread is handled before
// the thread runs another instruction of its own, so a process that wakes late finds its sockets gone. Bytes
// that the kernel took before the end may still arrive: the quiet period of the next holder covers those.
//
// Where the kernel gives no such timer, the fuse falls back to the clock: `hasAuthority` is asked when a
// socket is opened and again right before the first byte leaves. A process that is stopped between that check
// and its send may then send late; the quiet period of the next holder covers the sends that were under way.
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

// Belongs to the thread that constructs it; at most one for each thread.
class LeaseExpiryGuard {
public:
    // Whether to try the kernel timer; only a test asks for the clock alone.
    enum class Source { KernelTimer, ClockOnly };
    explicit LeaseExpiryGuard(Source source = Source::KernelTimer);
    ~LeaseExpiryGuard();
    LeaseExpiryGuard(const LeaseExpiryGuard&) = delete;
    LeaseExpiryGuard& operator=(const LeaseExpiryGuard&) = delete;

    // Arms the fuse for as long as it lives.
    class Arming {
    public:
        Arming(LeaseExpiryGuard& fuse, Instant authorityEnd);
        ~Arming();
        Arming(const Arming&) = delete;
        Arming& operator=(const Arming&) = delete;

    private:
        LeaseExpiryGuard& fuse_;
    };

    // Opens a socket under the fuse. Returns -1 when authority has ended.
    int openSocket(int family, int type, int protocol);
    void closeSocket(int socket);
    bool isBlown() const { return isBlown_.load(); }
    // Whether authority lasts by the clock; to be asked right before a send.
    bool hasAuthority() const;
    bool hasKernelTimer() const { return hasKernelTimer_; }

private:
    static void onSignal(int, siginfo_t*, void*);
    void arm(Instant authorityEnd);
    void disarm();
    void blow();

    static constexpr std::size_t maxSockets = 8;

    timer_t timer_{};
    bool hasKernelTimer_ = false;
    Instant authorityEnd_;
    int deadDescriptor_ = -1;
    std::atomic<bool> isBlown_{true};
    std::array<std::atomic<int>, maxSockets> sockets_;
};

} // namespace ragwortwinch
