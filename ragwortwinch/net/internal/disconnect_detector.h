// Detects that the remote end of a socket has closed it while no read is pending.
//
//     // Inside a handler of the socket:
//     std::shared_ptr<DisconnectDetector> detector = DisconnectDetector::current();
//     detector->start([state] { state->markClosed(); });
//
// Waits until the socket is readable and peeks, so that the reader loses no bytes. While bytes are unread,
// the close behind them is polled for. Closing only the sending side counts as closed. Thread-safe. May
// outlive the socket.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace ragwortwinch::internal {

class DisconnectDetector : public std::enable_shared_from_this<DisconnectDetector> {
public:
    using OnDisconnect = std::function<void()>;

    DisconnectDetector(asio::ip::tcp::socket& socket, asio::any_io_executor executor)
        : socket_(&socket)
        , executor_(std::move(executor))
        , pollTimer_(executor_)
    {
    }

    // While it exists, `current` returns the given detector on this thread. Created around each handler of a
    // socket.
    class Scope {
    public:
        explicit Scope(std::shared_ptr<DisconnectDetector> detector)
            : previous_(std::exchange(currentSlot(), std::move(detector)))
        {
        }
        ~Scope() { currentSlot() = std::move(previous_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        std::shared_ptr<DisconnectDetector> previous_;
    };

    // The detector of the socket whose handler runs on this thread; null outside such a handler.
    static std::shared_ptr<DisconnectDetector> current() { return currentSlot(); }

    // Calls `onDisconnect` once if the remote end closes. A later call replaces the callback.
    void start(OnDisconnect onDisconnect)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        onDisconnect_ = std::move(onDisconnect);
        if (!isWaiting_ && socket_)
            wait();
    }

    // Must be called before the socket is destroyed or moved.
    void detach()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        socket_ = nullptr;
    }

private:
    // Half of the time within which the work for a caller that has left must stop.
    static constexpr std::chrono::milliseconds pollInterval{250};

    enum class Peek { Closed, Bytes, Nothing };

    // Requires `mutex_` to be held.
    void wait()
    {
        isWaiting_ = true;
        socket_->async_wait(asio::ip::tcp::socket::wait_read,
            asio::bind_executor(executor_,
                [self = shared_from_this()](const asio::error_code& error) { self->onReadable(error); }));
    }

    // Waiting for the socket would report the unread bytes again at once. Requires `mutex_` to be held.
    void waitBehindBytes()
    {
        isWaiting_ = true;
        pollTimer_.expires_after(pollInterval);
        pollTimer_.async_wait(asio::bind_executor(executor_,
            [self = shared_from_this()](const asio::error_code& error) { self->onReadable(error); }));
    }

    void onReadable(const asio::error_code& error)
    {
        OnDisconnect onDisconnect;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isWaiting_ = false;
            if (error || !socket_)
                return;
            Peek peek = peekAtSocket();
            // The socket's reader took the bytes first. The request in them may have called `start`, which
            // did not wait because this handler was pending, so wait again.
            if (peek == Peek::Nothing)
                wait();
            if (peek == Peek::Bytes && onDisconnect_)
                waitBehindBytes();
            if (peek != Peek::Closed)
                return;
            onDisconnect = std::exchange(onDisconnect_, nullptr);
        }
        if (onDisconnect)
            onDisconnect();
    }

    Peek peekAtSocket() const
    {
        char byte = 0;
        ssize_t size = ::recv(socket_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (size > 0) {
            pollfd state{socket_->native_handle(), POLLRDHUP, 0};
            return ::poll(&state, 1, 0) > 0 ? Peek::Closed : Peek::Bytes;
        }
        bool isIdle = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        return isIdle ? Peek::Nothing : Peek::Closed;
    }

    static std::shared_ptr<DisconnectDetector>& currentSlot()
    {
        static thread_local std::shared_ptr<DisconnectDetector> detector;
        return detector;
    }

    std::mutex mutex_;
    asio::ip::tcp::socket* socket_;
    asio::any_io_executor executor_;
    asio::steady_timer pollTimer_;
    OnDisconnect onDisconnect_;
    bool isWaiting_ = false;
};

} // namespace ragwortwinch::internal
