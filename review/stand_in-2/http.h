// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the second review.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void sleepFor(Millis time) { std::this_thread::sleep_for(time); }

inline std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

struct Message {
    // The request line or the status line.
    std::string startLine;
    // Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        std::map<std::string, std::string>::const_iterator found = fields.find(lowered(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        std::size_t start = startLine.find(' ') + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    int status() const { return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9); }
};

inline std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, 16));
            index += 2;
        } else
            result += text[index];
    }
    return result;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        std::size_t end = target.find('&', start + 1);
        std::string item = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (item.starts_with(name + "="))
            return percentDecoded(std::string_view(item).substr(name.size() + 1));
        start = end;
    }
    return {};
}

// A connected socket with what has been read from it and not used. Closes it at its end.
class Channel {
public:
    explicit Channel(int socket = -1)
        : socket_(socket)
    {
        int yes = 1;
        if (socket_ >= 0)
            setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    }
    Channel(Channel&& other) noexcept
        : socket_(std::exchange(other.socket_, -1))
        , unused_(std::move(other.unused_))
    {
    }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;
    Channel& operator=(Channel&& other) noexcept
    {
        std::swap(socket_, other.socket_);
        std::swap(unused_, other.unused_);
        return *this;
    }
    ~Channel() { close(); }

    // Connects from `source`, an address of the loopback range, if it is not empty.
    static Channel connectTo(const std::string& host, std::uint16_t port, Millis timeout = Millis(1000),
        const std::string& source = {})
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (socket < 0)
            return Channel();
        if (!source.empty()) {
            sockaddr_in from{};
            from.sin_family = AF_INET;
            inet_pton(AF_INET, source.c_str(), &from.sin_addr);
            bind(socket, reinterpret_cast<sockaddr*>(&from), sizeof(from));
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &to.sin_addr);
        int result = connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to));
        if (result != 0 && errno == EINPROGRESS) {
            pollfd state{socket, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t size = sizeof(error);
            if (poll(&state, 1, static_cast<int>(timeout.count())) > 0)
                getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
            result = error;
        }
        if (result != 0) {
            ::close(socket);
            return Channel();
        }
        fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
        return Channel(socket);
    }

    bool isOpen() const { return socket_ >= 0; }
    int socket() const { return socket_; }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Returns nullopt at the end of the connection, or when nothing arrives for `timeout`.
    std::optional<Message> read(Millis timeout)
    {
        std::size_t end = std::string::npos;
        while ((end = unused_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(timeout))
                return std::nullopt;
        }
        Message message;
        std::string head = unused_.substr(0, end);
        unused_.erase(0, end + 4);
        std::size_t lineEnd = head.find("\r\n");
        message.startLine = head.substr(0, lineEnd);
        while (lineEnd != std::string::npos) {
            std::size_t start = lineEnd + 2;
            lineEnd = head.find("\r\n", start);
            std::string line = head.substr(start, lineEnd == std::string::npos ? lineEnd : lineEnd - start);
            std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields[lowered(line.substr(0, colon))]
                = value == std::string::npos ? std::string() : line.substr(value);
        }
        std::size_t length = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (unused_.size() < length) {
            if (!readMore(timeout))
                return std::nullopt;
        }
        message.body = unused_.substr(0, length);
        unused_.erase(0, length);
        return message;
    }

    // Returns what arrives until the end of the connection, or until nothing arrives for `timeout`.
    std::string readToEnd(Millis timeout)
    {
        while (readMore(timeout)) { }
        return std::move(unused_);
    }

    // Whether the other end has closed or reset the connection.
    bool hasEnded() const
    {
        char byte = 0;
        ssize_t size = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Resets the connection.
    void reset()
    {
        linger now{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    void close()
    {
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }

private:
    bool readMore(Millis timeout)
    {
        pollfd state{socket_, POLLIN, 0};
        if (socket_ < 0 || poll(&state, 1, static_cast<int>(timeout.count())) <= 0)
            return false;
        char bytes[16384];
        ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return false;
        unused_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int socket_;
    std::string unused_;
};

// Accepts connections and runs `serve` for each on a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Channel channel)>;

    explicit Listener(Serve serve, const std::string& host = "127.0.0.1")
        : serve_(std::move(serve))
        , host_(host)
    {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        socklen_t size = sizeof(address);
        if (socket_ < 0 || bind(socket_, reinterpret_cast<sockaddr*>(&address), size) != 0
            || listen(socket_, 1024) != 0)
            throw std::runtime_error("can't listen on " + host);
        getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] {
            while (true) {
                int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread([this, accepted] { serve_(Channel(accepted)); }).detach();
                else
                    sleepFor(Millis(10));
            }
        }).detach();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return host_ + ":" + std::to_string(port_); }

private:
    Serve serve_;
    std::string host_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace review
