// A TCP socket that tells the peer why its connection is closed.
//
// RESTinio closes a connection without an answer when a request breaks a limit or is malformed. This socket
// sees the shutdown and, when bytes of a request have arrived that no response has followed, first sends a
// short error response.
#pragma once

#include <asio.hpp>
#include <string_view>
#include <utility>

namespace ragwortwinch::internal {

class ReplyingSocket : public asio::ip::tcp::socket {
public:
    explicit ReplyingSocket(asio::io_context& context)
        : asio::ip::tcp::socket(context)
    {
    }
    ReplyingSocket(ReplyingSocket&&) = default;
    ReplyingSocket& operator=(ReplyingSocket&&) = default;

    template <typename Buffers, typename Handler>
    auto async_read_some(const Buffers& buffers, Handler&& handler)
    {
        return asio::ip::tcp::socket::async_read_some(buffers,
            [this, handler = std::forward<Handler>(handler)](
                const asio::error_code& error, std::size_t size) mutable {
                // `this` lives: RESTinio's handler holds the connection that owns the socket.
                if (!error && size > 0)
                    hasUnansweredBytes_ = true;
                if (error)
                    hasUnansweredBytes_ = false;
                handler(error, size);
            });
    }

    template <typename Buffers, typename Handler>
    auto async_write_some(const Buffers& buffers, Handler&& handler)
    {
        hasUnansweredBytes_ = false;
        return asio::ip::tcp::socket::async_write_some(buffers, std::forward<Handler>(handler));
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

    bool hasUnansweredBytes_ = false;
};

} // namespace ragwortwinch::internal
