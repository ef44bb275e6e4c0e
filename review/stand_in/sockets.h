// Blocking loopback sockets and a minimal HTTP/1.1 reader for the stand-ins of the review.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdint>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline std::int64_t millisSince(SteadyClock::time_point start)
{
    return std::chrono::duration_cast<Millis>(SteadyClock::now() - start).count();
}

// How a connection ended while something was read from it.
enum class ReadEnd { Complete, Closed, Reset, TimedOut };

inline const char* nameOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Complete:
        return "complete";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::TimedOut:
        return "timed_out";
    }
    return "";
}

struct HttpMessage {
    std::string head;
    std::string body;
    ReadEnd end = ReadEnd::TimedOut;

    // The value of a header field, or an empty string.
    std::string field(const std::string& name) const
    {
        std::string lowerHead = lower(head);
        std::size_t start = lowerHead.find("\r\n" + lower(name) + ":");
        if (start == std::string::npos)
            return {};
        start += name.size() + 3;
        std::size_t finish = head.find("\r\n", start);
        std::string value = head.substr(start, finish - start);
        value.erase(0, value.find_first_not_of(' '));
        return value;
    }
    std::string startLine() const { return head.substr(0, head.find("\r\n")); }
    // Of an answer; 0 if there is none.
    int status() const { return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
    // Of a request.
    std::string method() const { return head.substr(0, head.find(' ')); }
    std::string target() const
    {
        std::size_t start = head.find(' ');
        if (start == std::string::npos)
            return {};
        return head.substr(start + 1, head.find(' ', start + 1) - start - 1);
    }

private:
    static std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }
};

class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
        int on = 1;
        if (descriptor_ >= 0)
            setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Socket(Socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
        , received_(std::move(other.received_))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        received_ = std::move(other.received_);
        return *this;
    }
    ~Socket() { close(); }

    static Socket connectTo(std::uint16_t port)
    {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            socket.close();
        return socket;
    }

    bool isOpen() const { return descriptor_ >= 0; }
    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }
    void reset()
    {
        linger abort{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        close();
    }

    // Returns false once the peer has gone.
    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            ssize_t size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Whether input, or the end of the connection, can be read.
    bool waitForInput(int millis)
    {
        pollfd ready{descriptor_, POLLIN, 0};
        return !received_.empty() || poll(&ready, 1, millis) > 0;
    }
    // Whether the peer has closed or reset the connection.
    bool hasPeerGone()
    {
        char byte = 0;
        ssize_t size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    // Reads one request or answer with its body. `isAnswer`: without a length or chunks, the body ends with
    // the connection. Gives up after `millis`, or after `gapMillis` without a byte.
    HttpMessage readMessage(int millis, bool isAnswer = false, int gapMillis = INT_MAX)
    {
        gapMillis_ = gapMillis;
        HttpMessage message;
        SteadyClock::time_point until = SteadyClock::now() + Millis(millis);
        std::size_t headEnd = std::string::npos;
        while ((headEnd = received_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(until, message.end))
                return message;
        }
        message.head = received_.substr(0, headEnd + 4);
        received_.erase(0, headEnd + 4);
        std::string length = message.field("Content-Length");
        if (!length.empty()) {
            std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
            while (received_.size() < size) {
                if (!readMore(until, message.end))
                    return message;
            }
            message.body = received_.substr(0, size);
            received_.erase(0, size);
        } else if (message.field("Transfer-Encoding") == "chunked") {
            if (!readChunks(until, message))
                return message;
        } else if (isAnswer) {
            while (readMore(until, message.end)) { }
            message.body = std::exchange(received_, {});
            if (message.end != ReadEnd::Closed)
                return message;
        }
        message.end = ReadEnd::Complete;
        return message;
    }

private:
    bool readChunks(SteadyClock::time_point until, HttpMessage& message)
    {
        while (true) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = received_.find("\r\n")) == std::string::npos) {
                if (!readMore(until, message.end))
                    return false;
            }
            std::size_t size = std::strtoul(received_.c_str(), nullptr, 16);
            while (received_.size() < lineEnd + 2 + size + 2) {
                if (!readMore(until, message.end))
                    return false;
            }
            message.body += received_.substr(lineEnd + 2, size);
            received_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    bool readMore(SteadyClock::time_point until, ReadEnd& end)
    {
        auto left = std::chrono::duration_cast<Millis>(until - SteadyClock::now()).count();
        pollfd ready{descriptor_, POLLIN, 0};
        int wait = static_cast<int>(std::min<std::int64_t>(left + 1, gapMillis_));
        if (left < 0 || poll(&ready, 1, wait) <= 0) {
            end = ReadEnd::TimedOut;
            return false;
        }
        char buffer[16384];
        ssize_t size = recv(descriptor_, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            end = size == 0 ? ReadEnd::Closed : ReadEnd::Reset;
            return false;
        }
        received_.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    int descriptor_;
    std::string received_;
    int gapMillis_ = INT_MAX;
};

// Listens on a loopback port; 0 stands for any free one.
inline int listenOn(std::uint16_t& port)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    sockaddr* generic = reinterpret_cast<sockaddr*>(&address);
    bool isListening = ::bind(listener, generic, size) == 0 && ::listen(listener, SOMAXCONN) == 0
        && ::getsockname(listener, generic, &size) == 0;
    if (!isListening) {
        ::close(listener);
        return -1;
    }
    port = ntohs(address.sin_port);
    return listener;
}

// A port that is free now, for a process that takes its ports from its settings.
inline std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(listenOn(port));
    return port;
}

} // namespace review
