// An endpoint on a free port that handles each request with a function of the test.
//
//     FakeEndpoint endpoint([](RawSocket& socket, const std::string& request) {
//         socket.send(answerTo(request, "fine"));
//         return true;
//     });
//     endpoint.requests();      // the requests received so far
//
// An endpoint that reads only the heads of requests leaves their bodies to the function:
//
//     FakeEndpoint endpoint(behaviour, FakeEndpoint::Reads::Heads);
//
// Throws std::runtime_error if it can't listen. The public functions are thread-safe.
#pragma once

#include "testing/forward/raw_socket.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace ragwortwinch::testing {

class FakeEndpoint {
public:
    // Called for each request, on a thread per connection; returns false to close the connection.
    using Behaviour = std::function<bool(RawSocket&, const std::string& request)>;

    enum class Reads { Messages, Heads };

    explicit FakeEndpoint(Behaviour behaviour, Reads reads = Reads::Messages)
        : behaviour_(std::move(behaviour))
        , reads_(reads)
        , listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        sockaddr* generic = reinterpret_cast<sockaddr*>(&address);
        bool isListening = ::bind(listener_, generic, size) == 0 && ::listen(listener_, SOMAXCONN) == 0
            && ::getsockname(listener_, generic, &size) == 0;
        if (!isListening)
            throw std::runtime_error("a test endpoint can't listen on the loopback address");
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept(); });
    }
    ~FakeEndpoint()
    {
        isStopping_.store(true);
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        for (std::thread& thread : threads_)
            thread.join();
    }

    // Refuses further connections; those that are open go on.
    void stopListening() { shutdown(listener_, SHUT_RDWR); }

    std::uint16_t port() const { return port_; }
    std::vector<std::string> requests() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return requests_;
    }
    int connections() const { return connections_.load(); }

private:
    // How often an idle connection checks whether the endpoint is stopping.
    static constexpr int stopCheckMillis = 100;

    void accept()
    {
        while (true) {
            int descriptor = ::accept(listener_, nullptr, nullptr);
            if (descriptor < 0)
                return;
            ++connections_;
            threads_.emplace_back([this, descriptor] { serve(RawSocket(descriptor)); });
        }
    }

    void serve(RawSocket socket)
    {
        while (!isStopping_.load()) {
            if (!socket.waitForInput(stopCheckMillis))
                continue;
            std::string request
                = reads_ == Reads::Heads ? socket.readUntil("\r\n\r\n") : socket.readMessage();
            // The connection has ended.
            if (request.empty())
                return;
            {
                std::lock_guard<std::mutex> lock(mutex_);
                requests_.push_back(request);
            }
            if (!behaviour_(socket, request))
                return;
        }
    }

    Behaviour behaviour_;
    Reads reads_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> isStopping_{false};
    std::atomic<int> connections_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

// Returns the value of a header field in a message, or an empty string if it is absent.
inline std::string fieldOf(const std::string& message, const std::string& name)
{
    std::size_t start = message.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    start += name.size() + 4;
    return message.substr(start, message.find("\r\n", start) - start);
}

// Returns an answer with a Content-Length and the id of `request`.
inline std::string answerTo(const std::string& request, const std::string& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nId: " + fieldOf(request, "Id")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns `bytes` as one chunk of the chunked transfer coding.
inline std::string chunkOf(const std::string& bytes)
{
    char size[20];
    snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace ragwortwinch::testing
