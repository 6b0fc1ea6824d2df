#include "HttpServer.h"

#include "LowerCase.h"

#include <atomic>
#include <mutex>
#include <restinio/all.hpp>
#include <thread>

namespace fescue {

namespace {

    struct Traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
        // RESTinio requires this name.
        static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
    };
    using Server = restinio::http_server_t<Traits>;
    using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

    constexpr std::size_t maxUrlBytes = 8 * 1024;
    constexpr std::size_t maxHeaderNameBytes = 256;
    constexpr std::size_t maxHeaderValueBytes = 16 * 1024;
    constexpr std::chrono::hours maxHandlingTime { 2 };

    template <typename Builder> void addHeaders(Builder& builder, const HttpResponse& response)
    {
        builder.append_header(restinio::http_field::server, "fescuewinch");
        if (!response.contentType_.empty())
            builder.append_header(restinio::http_field::content_type, response.contentType_);
        for (const auto& [name, value] : response.headers_)
            builder.append_header(name, value);
    }

    restinio::http_status_line_t statusLine(int status)
    {
        return { restinio::http_status_code_t { static_cast<std::uint16_t>(status) }, "" };
    }

    // Bytes passed to RESTinio and not yet written to the socket. RESTinio itself queues without a limit.
    struct Backlog {
        std::atomic<std::int64_t> bytes_ { 0 };
        std::atomic<bool> isClosed_ { false };
    };

    class Exchange final : public HttpExchange {
    public:
        Exchange(std::shared_ptr<restinio::asio_ns::io_context> io, restinio::request_handle_t request,
            ByteCount maxBuffered)
            : io_(std::move(io))
            , request_(std::move(request))
            , maxBuffered_(maxBuffered)
        {
        }

        void answer(HttpResponse response) override
        {
            std::lock_guard<std::mutex> lock(mutex_);
            auto builder = request_->create_response(statusLine(response.status_));
            addHeaders(builder, response);
            builder.set_body(std::move(response.body_));
            builder.done();
        }

        void begin(HttpResponse head) override
        {
            std::lock_guard<std::mutex> lock(mutex_);
            chunked_.emplace(request_->create_response<restinio::chunked_output_t>(statusLine(head.status_)));
            addHeaders(*chunked_, head);
            if (!head.body_.empty())
                chunked_->append_chunk(std::move(head.body_));
            chunked_->flush();
        }

        bool write(std::string chunk) override
        {
            std::lock_guard<std::mutex> lock(mutex_);
            auto size = static_cast<std::int64_t>(chunk.size());
            if (!chunked_ || isCutOff_ || backlog_->isClosed_ || io_->stopped())
                return false;
            if (backlog_->bytes_ + size > maxBuffered_.value_) {
                isCutOff_ = true;
                return false;
            }
            if (size == 0)
                return true;
            backlog_->bytes_ += size;
            chunked_->append_chunk(std::move(chunk));
            chunked_->flush([backlog = backlog_, size](const restinio::asio_ns::error_code& error) {
                backlog->bytes_ -= size;
                if (error)
                    backlog->isClosed_ = true;
            });
            return true;
        }

        void abort(std::string lastChunk) override
        {
            {
                std::lock_guard<std::mutex> lock(mutex_);
                if (chunked_ && !backlog_->isClosed_)
                    chunked_->append_chunk(std::move(lastChunk));
            }
            end();
        }

        void end() override
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (chunked_)
                chunked_->done();
            chunked_.reset();
        }

    private:
        // Declared first: the connection that `request_` holds uses it until it is destroyed.
        std::shared_ptr<restinio::asio_ns::io_context> io_;
        restinio::request_handle_t request_;
        ByteCount maxBuffered_;
        std::mutex mutex_;
        std::optional<ChunkedBuilder> chunked_;
        bool isCutOff_ = false; ///< The reader was too slow; only the last chunk of `abort` may follow.
        std::shared_ptr<Backlog> backlog_ = std::make_shared<Backlog>();
    };

    HttpRequest toRequest(const restinio::request_t& from)
    {
        HttpRequest request;
        request.method_ = from.header().method().c_str();
        request.path_ = std::string(from.header().path());
        request.query_ = std::string(from.header().query());
        from.header().for_each_field([&request](const auto& field) {
            request.headers_[toLowerCase(std::string(field.name()))] = std::string(field.value());
        });
        request.body_ = from.body();
        return request;
    }

    restinio::incoming_http_msg_limits_t messageLimits(const HttpServerOptions& options)
    {
        return restinio::incoming_http_msg_limits_t {}
            .max_url_size(maxUrlBytes)
            .max_field_name_size(maxHeaderNameBytes)
            .max_field_value_size(maxHeaderValueBytes)
            .max_body_size(static_cast<std::uint64_t>(options.maxBody_.value_));
    }

} // namespace

std::string headerOf(const HttpRequest& request, const std::string& lowerCaseName)
{
    auto found = request.headers_.find(lowerCaseName);
    return found == request.headers_.end() ? std::string() : found->second;
}

std::string queryOf(const HttpRequest& request, const std::string& name)
{
    try {
        auto parsed = restinio::parse_query(request.query_);
        auto value = restinio::opt_value<std::string>(parsed, name);
        return value ? *value : std::string();
    } catch (const std::exception&) {
        return {};
    }
}

struct HttpServer::Impl {
    // Exchanges share it, as their connections may be used for longer than the server.
    std::shared_ptr<restinio::asio_ns::io_context> io_ = std::make_shared<restinio::asio_ns::io_context>();
    std::atomic<std::uint16_t> port_ { 0 };
    std::unique_ptr<Server> server_;
    std::vector<std::thread> threads_;

    Impl(const HttpServerOptions& options, HttpHandler handler)
    {
        server_ = std::make_unique<Server>(restinio::external_io_context(*io_), [&](auto& settings) {
            settings.address(options.address_)
                .port(options.port_)
                .handle_request_timeout(maxHandlingTime)
                .read_next_http_message_timelimit(options.readTimeout_)
                .write_http_response_timelimit(options.writeTimeout_)
                .max_pipelined_requests(4)
                .max_parallel_connections(options.maxConnections_)
                .incoming_http_msg_limits(messageLimits(options))
                .acceptor_options_setter([](auto& acceptor) {
                    acceptor.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
                })
                .socket_options_setter(
                    [](auto& socket) { socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true)); })
                .acceptor_post_bind_hook([this](auto& acceptor) { port_ = acceptor.local_endpoint().port(); })
                .request_handler(
                    [this, handler, limit = options.maxBuffered_](restinio::request_handle_t request) {
                        auto exchange = std::make_shared<Exchange>(io_, request, limit);
                        handler(toRequest(*request), exchange);
                        return restinio::request_accepted();
                    });
        });
        server_->open_sync();
        for (std::size_t i = 0; i < options.threads_; ++i)
            threads_.emplace_back([this] { io_->run(); });
    }

    void stop()
    {
        if (threads_.empty())
            return;
        restinio::asio_ns::post(*io_, [this] {
            server_->close_sync();
            io_->stop();
        });
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
        // The closed server is leaked on purpose. Connections that are still open decrement the server's
        // connection limiter when `io_` destroys their pending reads, which happens after the server would
        // have been destroyed. A process has only one or two servers.
        static_cast<void>(server_.release());
    }
};

HttpServer::HttpServer(const HttpServerOptions& options, HttpHandler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler)))
{
}

HttpServer::~HttpServer() { impl_->stop(); }

std::uint16_t HttpServer::port() const { return impl_->port_; }

void HttpServer::stop() { impl_->stop(); }

} // namespace fescue
