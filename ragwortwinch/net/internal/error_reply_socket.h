// A TCP socket that sends an error response before it closes on a bad request, and that detects a disconnect.
//
// RESTinio closes a connection without a response when a request exceeds a limit or is malformed. This socket
// intercepts the shutdown and, if bytes of a request have arrived without a response, first sends a short
// error response. Its `DisconnectDetector` is the current one while a read or write handler runs.
#pragma once

#include "ragwortwinch/net/internal/disconnect_detector.h"

#include <asio.hpp>
#include <string_view>
#include <utility>

namespace ragwortwinch::internal {

class ErrorReplySocket : public asio::ip::tcp::socket {
public:
    explicit ErrorReplySocket(asio::io_context& context)
        : asio::ip::tcp::socket(context)
    {
    }
    // RESTinio moves a socket only before its first read or write, when `detector_` is still null.
    ErrorReplySocket(ErrorReplySocket&&) = default;
    ErrorReplySocket& operator=(ErrorReplySocket&&) = default;
    ~ErrorReplySocket()
    {
        if (detector_)
            detector_->detach();
    }

    template <typename Buffers, typename Handler>
    auto async_read_some(const Buffers& buffers, Handler&& handler)
    {
        // Keeps the handler's strand; without it, handlers of one connection could run on several threads at
        // once.
        auto executor = asio::get_associated_executor(handler, get_executor());
        return asio::ip::tcp::socket::async_read_some(buffers,
            asio::bind_executor(executor,
                [this, detector = detectorFor(executor), handler = std::forward<Handler>(handler)](
                    const asio::error_code& error, std::size_t size) mutable {
                    // `this` is still valid: RESTinio's handler holds the connection that owns the socket.
                    if (!error && size > 0)
                        hasUnansweredBytes_ = true;
                    if (error)
                        hasUnansweredBytes_ = false;
                    DisconnectDetector::Scope scope(std::move(detector));
                    handler(error, size);
                }));
    }

    template <typename Buffers, typename Handler>
    auto async_write_some(const Buffers& buffers, Handler&& handler)
    {
        hasUnansweredBytes_ = false;
        auto executor = asio::get_associated_executor(handler, get_executor());
        return asio::ip::tcp::socket::async_write_some(buffers,
            asio::bind_executor(executor,
                [detector = detectorFor(executor), handler = std::forward<Handler>(handler)](
                    const asio::error_code& error, std::size_t size) mutable {
                    // RESTinio handles a pipelined request inside the handler of the previous response's last
                    // write.
                    DisconnectDetector::Scope scope(std::move(detector));
                    handler(error, size);
                }));
    }

    void shutdown(shutdown_type what, asio::error_code& error)
    {
        if (std::exchange(hasUnansweredBytes_, false)) {
            asio::error_code ignored;
            non_blocking(true, ignored);
            write_some(asio::buffer(reply.data(), reply.size()), ignored);
        }
        asio::ip::tcp::socket::shutdown(what, error);
    }

private:
    static constexpr std::string_view reply
        = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\n\r\n"
          R"({"error":{"kind":"bad_request","message":"the request was not read: it is malformed, larger than this server's limits on header or body, or came too slowly; send a smaller or correct request","request":"not_run"}})";

    std::shared_ptr<DisconnectDetector> detectorFor(const asio::any_io_executor& executor)
    {
        if (!detector_)
            detector_ = std::make_shared<DisconnectDetector>(*this, executor);
        return detector_;
    }

    bool hasUnansweredBytes_ = false;
    std::shared_ptr<DisconnectDetector> detector_;
};

} // namespace ragwortwinch::internal
