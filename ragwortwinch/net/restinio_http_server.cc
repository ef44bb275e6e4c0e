#include "ragwortwinch/net/http_server.h"

#include "ragwortwinch/net/internal/error_reply_socket.h"
#include "ragwortwinch/net/internal/responder_registry.h"

#include <asio.hpp>
#include <atomic>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <restinio/all.hpp>
#include <thread>
#include <vector>

namespace ragwortwinch {

namespace {

struct ServerTraits : public restinio::default_traits_t {
    using stream_socket_t = internal::ErrorReplySocket;
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

// State shared by a responder, the write callbacks that RESTinio holds and the caller's DisconnectDetector.
struct ResponderState {
    std::atomic<std::size_t> unsentBytes{0};
    std::atomic<bool> isClosed{false};
    std::mutex mutex;
    std::function<void()> onClosed;
    std::function<void()> onWritten;

    void markClosed()
    {
        std::function<void()> callback;
        {
            std::lock_guard<std::mutex> lock(mutex);
            if (!isClosed.exchange(true))
                callback = std::move(onClosed);
        }
        if (callback)
            callback();
    }

    void finishWrite(std::size_t size, bool failed)
    {
        unsentBytes.fetch_sub(size);
        if (failed) {
            markClosed();
            return;
        }
        std::function<void()> callback;
        {
            std::lock_guard<std::mutex> lock(mutex);
            callback = onWritten;
        }
        if (callback)
            callback();
    }
};

// What a responder holds of RESTinio. `disconnect` drops it.
struct RestinioLink final : internal::ResponderLink {
    using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

    void disconnect() override
    {
        stream.reset();
        request.reset();
    }
    void markClosed() override
    {
        state->markClosed();
        // It may own the responder.
        std::lock_guard<std::mutex> lock(state->mutex);
        state->onWritten = nullptr;
    }

    restinio::request_handle_t request;
    std::unique_ptr<Stream> stream;
    std::shared_ptr<ResponderState> state = std::make_shared<ResponderState>();
};

class RestinioResponder final : public HttpResponder {
public:
    RestinioResponder(
        restinio::request_handle_t request, std::shared_ptr<internal::ResponderRegistry> registry)
        : registry_(std::move(registry))
        , link_(std::make_shared<RestinioLink>())
        , state_(link_->state)
    {
        link_->request = std::move(request);
        registry_->add(link_);
        if (std::shared_ptr<internal::DisconnectDetector> detector = internal::DisconnectDetector::current())
            detector->start([weak = std::weak_ptr<ResponderState>(state_)] {
                if (std::shared_ptr<ResponderState> state = weak.lock())
                    state->markClosed();
            });
    }

    ~RestinioResponder() override
    {
        internal::ResponderRegistry::Use use(*registry_);
        // Otherwise `endAll` disconnects the link.
        if (!use)
            return;
        if (!link_->stream && !wasAnswered_)
            respond(jsonResponse(500,
                R"({"error":{"kind":"internal","message":"no answer was made; please report it","request":"outcome_unknown"}})"));
        link_->disconnect();
        registry_->remove(link_);
    }

    void send(HttpResponse response) override
    {
        internal::ResponderRegistry::Use use(*registry_);
        if (use)
            respond(std::move(response));
    }

    void beginStream(int status, HttpHeaders headers) override
    {
        internal::ResponderRegistry::Use use(*registry_);
        if (!use)
            return;
        wasAnswered_ = true;
        link_->stream = std::make_unique<RestinioLink::Stream>(
            link_->request->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const HttpHeaders::Field& field : headers.fields())
            link_->stream->append_header(field.first, field.second);
        link_->stream->flush();
    }

    std::size_t writeStream(std::string chunk) override
    {
        internal::ResponderRegistry::Use use(*registry_);
        if (!use || !link_->stream || state_->isClosed.load() || chunk.empty())
            return state_->unsentBytes.load();
        std::size_t size = chunk.size();
        std::size_t unsent = state_->unsentBytes.fetch_add(size) + size;
        link_->stream->append_chunk(std::move(chunk));
        link_->stream->flush([state = state_, size](const asio::error_code& error) {
            state->finishWrite(size, static_cast<bool>(error));
        });
        return unsent;
    }

    void endStream() override
    {
        internal::ResponderRegistry::Use use(*registry_);
        if (!use || !link_->stream)
            return;
        link_->stream->done();
        link_->stream.reset();
    }

    bool isClosed() const override { return state_->isClosed.load(); }
    std::size_t unsentBytes() const override { return state_->unsentBytes.load(); }

    void onClosed(std::function<void()> callback) override
    {
        std::unique_lock<std::mutex> lock(state_->mutex);
        if (state_->isClosed.load()) {
            lock.unlock();
            callback();
            return;
        }
        state_->onClosed = std::move(callback);
    }

    void onWritten(std::function<void()> callback) override
    {
        std::lock_guard<std::mutex> lock(state_->mutex);
        state_->onWritten = std::move(callback);
    }

private:
    // Requires that the server exists.
    void respond(HttpResponse response)
    {
        wasAnswered_ = true;
        auto builder = link_->request->create_response(statusLine(response.status));
        for (const HttpHeaders::Field& field : response.headers.fields())
            builder.append_header(field.first, field.second);
        builder.set_body(std::move(response.body));
        builder.done();
    }

    static restinio::http_status_line_t statusLine(int status)
    {
        return restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reasonPhrase(status));
    }

    static std::string reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 413:
            return "Payload Too Large";
        case 429:
            return "Too Many Requests";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        default:
            return status < 400 ? "OK" : "Error";
        }
    }

    std::shared_ptr<internal::ResponderRegistry> registry_;
    std::shared_ptr<RestinioLink> link_;
    std::shared_ptr<ResponderState> state_;
    bool wasAnswered_ = false;
};

HttpRequest convertRequest(const restinio::request_handle_t& source)
{
    HttpRequest request;
    request.method = source->header().method().c_str();
    std::string_view target = source->header().request_target();
    std::size_t questionMark = target.find('?');
    request.path = percentDecode(target.substr(0, questionMark));
    if (questionMark != std::string_view::npos)
        request.query = target.substr(questionMark + 1);
    source->header().for_each_field([&](const restinio::http_header_field_t& field) {
        request.headers.add(field.name(), field.value());
    });
    request.body = source->body();
    return request;
}

// Makes `shutdown` public, so that pending handlers are destroyed while the objects they refer to still
// exist.
class OwnedContext : public asio::io_context {
public:
    using asio::execution_context::shutdown;
};

class RestinioHttpServer final : public HttpServer {
public:
    using Server = restinio::http_server_t<ServerTraits>;

    RestinioHttpServer(const std::string& address, std::uint16_t port, int threads,
        const HttpServerLimits& limits, std::shared_ptr<HttpHandler> handler)
        : handler_(std::move(handler))
        , server_(restinio::external_io_context(context_), makeSettings(address, port, limits))
    {
        server_.open_sync();
        for (int index = 0; index < threads; ++index)
            threads_.emplace_back([this] { context_.run(); });
    }

    ~RestinioHttpServer() override
    {
        asio::post(context_, [this] {
            server_.close_sync();
            context_.stop();
        });
        for (std::thread& thread : threads_)
            thread.join();
        responders_->endAll();
        // Pending handlers own connections, whose destructors use the server's connection limiter.
        context_.shutdown();
    }

    std::uint16_t port() const override { return port_; }

private:
    restinio::server_settings_t<ServerTraits> makeSettings(
        const std::string& address, std::uint16_t port, const HttpServerLimits& limits)
    {
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(address)
            .port(port)
            .read_next_http_message_timelimit(std::chrono::seconds(limits.readTimeoutSeconds))
            .write_http_response_timelimit(std::chrono::seconds(limits.writeTimeoutSeconds))
            .handle_request_timeout(std::chrono::hours(1))
            .max_parallel_connections(limits.maxConnections)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                          .max_url_size(limits.maxHeaderBytes)
                                          .max_field_name_size(limits.maxHeaderBytes)
                                          .max_field_value_size(limits.maxHeaderBytes)
                                          .max_field_count(limits.maxHeaderFields)
                                          .max_body_size(limits.maxBodyBytes))
            .acceptor_options_setter([](restinio::acceptor_options_t& options) {
                options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](restinio::socket_options_t& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
                options.set_option(asio::socket_base::keep_alive(true));
            })
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
            .request_handler([this](restinio::request_handle_t request) {
                handler_->handle(
                    convertRequest(request), std::make_shared<RestinioResponder>(request, responders_));
                return restinio::request_accepted();
            });
        return settings;
    }

    OwnedContext context_;
    std::uint16_t port_ = 0;
    std::shared_ptr<HttpHandler> handler_;
    std::shared_ptr<internal::ResponderRegistry> responders_
        = std::make_shared<internal::ResponderRegistry>();
    Server server_;
    std::vector<std::thread> threads_;
};

} // namespace

HttpServerBuilder& HttpServerBuilder::address(std::string value)
{
    address_ = std::move(value);
    return *this;
}

HttpServerBuilder& HttpServerBuilder::port(std::uint16_t value)
{
    port_ = value;
    return *this;
}

HttpServerBuilder& HttpServerBuilder::threads(int value)
{
    threads_ = value;
    return *this;
}

HttpServerBuilder& HttpServerBuilder::limits(HttpServerLimits value)
{
    limits_ = value;
    return *this;
}

HttpServerBuilder& HttpServerBuilder::handler(std::shared_ptr<HttpHandler> value)
{
    handler_ = std::move(value);
    return *this;
}

Result<std::unique_ptr<HttpServer>> HttpServerBuilder::start()
{
    try {
        return std::unique_ptr<HttpServer>(
            std::make_unique<RestinioHttpServer>(address_, port_, threads_, limits_, handler_));
    } catch (const std::exception& failure) {
        return makeError(ErrorKind::BadSettings,
            fmt::format("can't listen on {}:{}: {}; choose an address of this VM and a free port", address_,
                port_, failure.what()));
    }
}

} // namespace ragwortwinch
