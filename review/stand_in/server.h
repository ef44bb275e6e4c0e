// A loopback HTTP server with a thread for each connection.
#pragma once

#include "review/stand_in/sockets.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

namespace review {

class Server {
public:
    // Handles one request; returns whether the connection is kept.
    using Handler = std::function<bool(Socket&, const HttpMessage&)>;

    explicit Server(Handler handler)
        : handler_(std::move(handler))
        , listener_(listenOn(port_))
    {
        if (listener_ < 0)
            throw std::runtime_error("a stand-in can't listen");
        acceptor_ = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    std::uint16_t port() const { return port_; }
    bool isStopping() const { return isStopping_.load(); }
    void stop()
    {
        if (isStopping_.exchange(true))
            return;
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        for (std::thread& thread : threads_)
            thread.join();
    }

private:
    void accept()
    {
        while (!isStopping_.load()) {
            int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            threads_.emplace_back([this, descriptor] { serve(Socket(descriptor)); });
        }
    }

    void serve(Socket socket)
    {
        while (!isStopping_.load()) {
            if (!socket.waitForInput(100))
                continue;
            HttpMessage request = socket.readMessage(10000);
            if (request.end != ReadEnd::Complete || !handler_(socket, request))
                return;
        }
    }

    Handler handler_;
    std::uint16_t port_ = 0;
    int listener_;
    std::atomic<bool> isStopping_{false};
    std::thread acceptor_;
    std::vector<std::thread> threads_;
};

} // namespace review
