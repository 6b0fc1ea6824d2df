#include "FrameLink.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace fescue {

namespace {

    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using Handle = websocketpp::connection_hdl;

    constexpr long openHandshakeTimeoutMs = 2000;

    // A link over a server or client endpoint. websocketpp updates its count of buffered bytes without a
    // lock, so frames are sent, and the count is read, only on the connection's strand.
    template <typename Endpoint>
    class Link final : public FrameLink, public std::enable_shared_from_this<Link<Endpoint>> {
    public:
        Link(const typename Endpoint::connection_ptr& connection, ByteCount maxBacklog)
            : connection_(connection)
            , maxBacklog_(maxBacklog)
        {
        }

        bool send(const Frame& frame) override
        {
            auto connection = connection_.lock();
            if (isClosed_ || !connection)
                return false;
            ++posted_;
            asio::post(*connection->get_strand(), [self = this->shared_from_this(), bytes = toCbor(frame)] {
                self->write(bytes);
                self->updateBacklog();
                --self->posted_;
            });
            return true;
        }

        bool isFlushed() override
        {
            auto connection = connection_.lock();
            if (!connection)
                return true;
            asio::post(
                *connection->get_strand(), [self = this->shared_from_this()] { self->updateBacklog(); });
            return posted_ == 0 && backlog_ == 0;
        }

        void close() override
        {
            isClosed_ = true;
            std::error_code ignored;
            if (auto connection = connection_.lock())
                connection->terminate(ignored);
        }

    private:
        void write(const std::string& bytes)
        {
            auto connection = connection_.lock();
            if (!connection)
                return;
            bool isTooSlow = connection->get_buffered_amount() > static_cast<std::size_t>(maxBacklog_.value_);
            if (isTooSlow || connection->send(bytes, websocketpp::frame::opcode::binary))
                close();
        }

        void updateBacklog()
        {
            auto connection = connection_.lock();
            backlog_ = connection ? connection->get_buffered_amount() : 0;
        }

        // Weak, because users may keep a link for any time, while the connection's socket must not outlive
        // the endpoint. The endpoint's pending operations own the connection.
        std::weak_ptr<typename Endpoint::connection_type> connection_;
        ByteCount maxBacklog_;
        std::atomic<bool> isClosed_ { false };
        std::atomic<std::size_t> posted_ { 0 }; ///< Frames posted to the strand and not yet sent there.
        std::atomic<std::size_t> backlog_ { 0 }; ///< Bytes not yet written, as of the last `updateBacklog()`.
    };

    // The links of one endpoint by their websocketpp handles.
    template <typename Endpoint> struct LinkTable {
        Endpoint endpoint_;
        FrameHandlers handlers_;
        FrameLimits limits_;
        std::mutex mutex_;
        std::map<Handle, FrameLinkPtr, std::owner_less<Handle>> links_;
        std::vector<std::thread> threads_;

        FrameLinkPtr add(const Handle& handle)
        {
            auto connection = endpoint_.get_con_from_hdl(handle);
            auto link = std::make_shared<Link<Endpoint>>(connection, limits_.maxBacklog_);
            std::lock_guard<std::mutex> lock(mutex_);
            links_[handle] = link;
            return link;
        }

        FrameLinkPtr find(const Handle& handle)
        {
            std::lock_guard<std::mutex> lock(mutex_);
            auto found = links_.find(handle);
            return found == links_.end() ? nullptr : found->second;
        }

        void handleClose(const Handle& handle)
        {
            FrameLinkPtr link = find(handle);
            {
                std::lock_guard<std::mutex> lock(mutex_);
                links_.erase(handle);
            }
            if (link)
                handlers_.onClosed_(link);
        }

        void handleMessage(const Handle& handle, const std::string& bytes)
        {
            FrameLinkPtr link = find(handle);
            if (!link)
                return;
            auto frame = parseFrame(bytes);
            if (frame)
                handlers_.onFrame_(link, std::move(*frame));
            else
                link->close();
        }

        void configure()
        {
            endpoint_.clear_access_channels(websocketpp::log::alevel::all);
            endpoint_.clear_error_channels(websocketpp::log::elevel::all);
            endpoint_.init_asio();
            endpoint_.set_max_message_size(static_cast<std::size_t>(limits_.maxMessage_.value_));
            endpoint_.set_open_handshake_timeout(openHandshakeTimeoutMs);
            endpoint_.set_close_handler([this](const Handle& handle) { handleClose(handle); });
            endpoint_.set_fail_handler([this](const Handle& handle) { handleClose(handle); });
            endpoint_.set_message_handler(
                [this](const Handle& handle, const typename Endpoint::message_ptr& message) {
                    this->handleMessage(handle, message->get_payload());
                });
            // Not in the socket init handler, since it is called before the socket is open.
            endpoint_.set_tcp_pre_init_handler([this](const Handle& handle) {
                std::error_code ignored;
                if (auto connection = endpoint_.get_con_from_hdl(handle, ignored))
                    connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            });
        }

        void start(std::size_t threads)
        {
            for (std::size_t i = 0; i < threads; ++i)
                threads_.emplace_back([this] { endpoint_.run(); });
        }

        void stop()
        {
            endpoint_.stop();
            for (std::thread& thread : threads_)
                thread.join();
            threads_.clear();
        }
    };

} // namespace

struct FrameServer::Impl : LinkTable<Server> { };

FrameServer::FrameServer(const std::string& address, std::uint16_t port, std::size_t threads,
    const FrameLimits& limits, FrameHandlers handlers)
    : impl_(std::make_unique<Impl>())
{
    impl_->handlers_ = std::move(handlers);
    impl_->limits_ = limits;
    impl_->configure();
    impl_->endpoint_.set_reuse_addr(true);
    impl_->endpoint_.set_open_handler([impl = impl_.get()](const Handle& handle) {
        FrameLinkPtr link = impl->add(handle);
        impl->handlers_.onOpen_(link);
    });
    impl_->endpoint_.listen(asio::ip::tcp::endpoint(asio::ip::make_address(address), port));
    impl_->endpoint_.start_accept();
    impl_->start(threads);
}

FrameServer::~FrameServer() { stop(); }

void FrameServer::stop() { impl_->stop(); }

std::uint16_t FrameServer::port() const
{
    std::error_code ignored;
    return impl_->endpoint_.get_local_endpoint(ignored).port();
}

struct FrameDialer::Impl : LinkTable<Client> { };

FrameDialer::FrameDialer(std::size_t threads, const FrameLimits& limits, FrameHandlers handlers)
    : impl_(std::make_unique<Impl>())
{
    impl_->handlers_ = std::move(handlers);
    impl_->limits_ = limits;
    impl_->configure();
    impl_->endpoint_.start_perpetual();
    impl_->endpoint_.set_open_handler([impl = impl_.get()](const Handle& handle) {
        if (FrameLinkPtr link = impl->find(handle))
            impl->handlers_.onOpen_(link);
    });
    impl_->start(threads);
}

FrameDialer::~FrameDialer() { impl_->stop(); }

FrameLinkPtr FrameDialer::dial(const std::string& address)
{
    std::error_code error;
    auto connection = impl_->endpoint_.get_connection("ws://" + address + "/frames", error);
    if (error)
        return nullptr;
    FrameLinkPtr link = impl_->add(connection->get_handle());
    impl_->endpoint_.connect(connection);
    return link;
}

} // namespace fescue
