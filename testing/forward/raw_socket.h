// A blocking TCP socket with time limits on reads, for tests that check exact bytes.
//
//     RawSocket caller = RawSocket::connectTo(port);
//     caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
//     std::string answer = caller.readMessage();
//
// Not thread-safe.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace ragwortwinch::testing {

class RawSocket {
public:
    explicit RawSocket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    RawSocket(RawSocket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
        , received_(std::move(other.received_))
        , hasEnded_(other.hasEnded_)
        , wasReset_(other.wasReset_)
    {
    }
    RawSocket& operator=(RawSocket&& other) noexcept
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        received_ = std::move(other.received_);
        hasEnded_ = other.hasEnded_;
        wasReset_ = other.wasReset_;
        return *this;
    }
    ~RawSocket() { close(); }

    // Connects to `port` on the loopback address, from 127.0.0.`sourceNumber`; `isOpen` is false if that
    // fails.
    static RawSocket connectTo(std::uint16_t port, std::uint32_t sourceNumber = 1)
    {
        RawSocket raw(::socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + sourceNumber);
        if (bind(raw.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            raw.close();
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(raw.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            raw.close();
        return raw;
    }

    bool isOpen() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }
    void send(const std::string& bytes) { ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }
    // Closes the connection with a TCP reset.
    void reset()
    {
        linger abort{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        close();
    }

    // Whether the last read found the connection reset.
    bool wasReset() const { return wasReset_; }

    // Waits until something can be read, which includes the end of the connection. Returns false on a
    // time-out.
    bool waitForInput(int millis)
    {
        pollfd ready{descriptor_, POLLIN, 0};
        return !received_.empty() || poll(&ready, 1, millis) > 0;
    }

    // Waits until `text` has arrived; returns everything up to and including it. On a time-out or at the end
    // of the connection returns what has arrived.
    std::string readUntil(const std::string& text, int millis = 3000)
    {
        std::chrono::steady_clock::time_point end
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
        while (true) {
            std::size_t found = received_.find(text);
            if (found != std::string::npos) {
                std::string result = received_.substr(0, found + text.size());
                received_.erase(0, found + text.size());
                return result;
            }
            if (!readMore(end))
                return std::exchange(received_, {});
        }
    }

    // Reads until the peer closes or resets the connection or the time is up; sets `hasClosed` to whether it
    // has closed or reset it.
    std::string readToEnd(bool& hasClosed, int millis = 3000)
    {
        std::chrono::steady_clock::time_point end
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
        while (readMore(end)) { }
        hasClosed = hasEnded_;
        return std::exchange(received_, {});
    }

    // Reads `size` bytes; returns fewer on a time-out or at the end of the connection.
    std::string readBytes(std::size_t size, int millis = 3000)
    {
        std::chrono::steady_clock::time_point end
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
        while (received_.size() < size && readMore(end)) { }
        std::string bytes = received_.substr(0, size);
        received_.erase(0, bytes.size());
        return bytes;
    }

    // Reads one request or answer; the body is read only if there is a Content-Length.
    std::string readMessage(int millis = 3000)
    {
        std::string head = readUntil("\r\n\r\n", millis);
        std::size_t field = head.find("Content-Length: ");
        std::size_t length
            = field == std::string::npos ? 0 : static_cast<std::size_t>(std::stoul(head.substr(field + 16)));
        return head + readBytes(length, millis);
    }

private:
    bool readMore(std::chrono::steady_clock::time_point end)
    {
        auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        pollfd ready{descriptor_, POLLIN, 0};
        // Rounds up, so that the last fraction of a millisecond is waited for too.
        if (left.count() < 0 || poll(&ready, 1, static_cast<int>(left.count()) + 1) <= 0)
            return false;
        char buffer[16384];
        ssize_t size = recv(descriptor_, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            hasEnded_ = size == 0 || (errno != EINTR && errno != EAGAIN);
            wasReset_ = size < 0 && errno == ECONNRESET;
            return false;
        }
        received_.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    int descriptor_;
    std::string received_;
    // The peer has closed or reset the connection.
    bool hasEnded_ = false;
    bool wasReset_ = false;
};

} // namespace ragwortwinch::testing
