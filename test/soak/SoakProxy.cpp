#include "SoakProxy.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>

namespace fescue::test {

namespace {

    using asio::ip::tcp;

    constexpr Milliseconds blockedPollInterval { 5 };

    // Buffer and delay timer of one direction of a connection.
    struct Direction {
        std::array<char, 16384> buffer_ {};
        asio::steady_timer timer_;
        explicit Direction(asio::io_context& io)
            : timer_(io)
        {
        }
    };

    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(asio::io_context& io, tcp::socket client, const ProxyFaults& faults)
            : client_(std::move(client))
            , server_(io)
            , toServer_(io)
            , toClient_(io)
            , faults_(faults)
        {
        }

        void start(const tcp::endpoint& server)
        {
            server_.async_connect(server, [self = shared_from_this()](const asio::error_code& error) {
                if (error)
                    return self->reset();
                asio::error_code ignored; // Without TCP_NODELAY, chunks only arrive later.
                self->client_.set_option(tcp::no_delay(true), ignored);
                self->server_.set_option(tcp::no_delay(true), ignored);
                self->read(true);
                self->read(false);
            });
        }

        void reset()
        {
            for (tcp::socket* socket : { &client_, &server_ }) {
                asio::error_code ignored; // A socket that is closed already needs no reset.
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
            toServer_.timer_.cancel();
            toClient_.timer_.cancel();
        }

        bool isOpen() const { return client_.is_open(); }

    private:
        tcp::socket& from(bool isToServer) { return isToServer ? client_ : server_; }
        tcp::socket& to(bool isToServer) { return isToServer ? server_ : client_; }
        Direction& direction(bool isToServer) { return isToServer ? toServer_ : toClient_; }
        bool isBlocked(bool isToServer) const
        {
            return isToServer ? faults_.blocksToServer_ : faults_.blocksToClient_;
        }

        void read(bool isToServer)
        {
            from(isToServer)
                .async_read_some(asio::buffer(direction(isToServer).buffer_),
                    [self = shared_from_this(), isToServer](const asio::error_code& error, std::size_t size) {
                        self->forward(isToServer, error, size, self->faults_.delay_);
                    });
        }

        // Forwards a chunk, or the end of the direction.
        void forward(bool isToServer, const asio::error_code& end, std::size_t size, Milliseconds delay)
        {
            if (!isOpen())
                return;
            if (isBlocked(isToServer) || delay.count() > 0) {
                asio::steady_timer& timer = direction(isToServer).timer_;
                timer.expires_after(isBlocked(isToServer) ? blockedPollInterval : delay);
                return timer.async_wait(
                    [self = shared_from_this(), isToServer, end, size](const asio::error_code&) {
                        self->forward(isToServer, end, size, Milliseconds { 0 });
                    });
            }
            if (end && end != asio::error::eof)
                return reset();
            if (end) {
                asio::error_code ignored; // The other side may have closed already.
                to(isToServer).shutdown(tcp::socket::shutdown_send, ignored);
                constexpr int bothDirections = 2;
                if (++endedDirections_ == bothDirections) {
                    client_.close(ignored);
                    server_.close(ignored);
                }
                return;
            }
            asio::async_write(to(isToServer), asio::buffer(direction(isToServer).buffer_, size),
                [self = shared_from_this(), isToServer](const asio::error_code& error, std::size_t) {
                    if (error)
                        return self->reset();
                    self->read(isToServer);
                });
        }

        tcp::socket client_;
        tcp::socket server_;
        Direction toServer_;
        Direction toClient_;
        const ProxyFaults& faults_;
        int endedDirections_ = 0; ///< Number of directions that have ended.
    };

} // namespace

struct SoakProxy::Impl : std::enable_shared_from_this<SoakProxy::Impl> {
    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint server_;
    ProxyFaults faults_;
    std::set<std::shared_ptr<Session>> sessions_;

    Impl(asio::io_context& io, std::uint16_t serverPort)
        : io_(io)
        , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , server_(asio::ip::address_v4::loopback(), serverPort)
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (error)
                    return;
                auto& sessions = self->sessions_;
                for (auto session = sessions.begin(); session != sessions.end();)
                    session = (*session)->isOpen() ? std::next(session) : sessions.erase(session);
                auto session = std::make_shared<Session>(self->io_, std::move(socket), self->faults_);
                sessions.insert(session);
                if (!self->faults_.ignoresNewConnections_)
                    session->start(self->server_);
                self->accept();
            });
    }
};

SoakProxy::SoakProxy(asio::io_context& io, std::uint16_t serverPort)
    : impl_(std::make_shared<Impl>(io, serverPort))
{
    impl_->accept();
}

SoakProxy::~SoakProxy()
{
    impl_->acceptor_.close();
    resetAll();
}

std::uint16_t SoakProxy::port() const { return impl_->acceptor_.local_endpoint().port(); }

ProxyFaults& SoakProxy::faults() { return impl_->faults_; }

void SoakProxy::resetAll()
{
    for (const auto& session : impl_->sessions_)
        session->reset();
    impl_->sessions_.clear();
}

} // namespace fescue::test
