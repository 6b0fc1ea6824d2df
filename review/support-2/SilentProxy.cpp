#include "SilentProxy.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace review {

using asio::ip::tcp;

class SilentProxy::Session : public std::enable_shared_from_this<Session> {
public:
    Session(asio::io_context& io, tcp::socket client, int answerDelayMs)
        : client_(std::move(client))
        , server_(io)
        , timer_(io)
        , answerDelayMs_(answerDelayMs)
    {
    }

    void start(const tcp::endpoint& server)
    {
        server_.async_connect(server, [self = shared_from_this()](const asio::error_code& error) {
            if (error)
                return self->close();
            self->client_.set_option(tcp::no_delay(true));
            self->server_.set_option(tcp::no_delay(true));
            self->readRequest();
            self->readAnswer();
        });
    }

    bool isOpen() const { return client_.is_open() && server_.is_open(); }
    void silence() { isSilent_ = true; }

private:
    void close()
    {
        if (isSilent_)
            return;
        asio::error_code ignored; // Both sides end together.
        client_.close(ignored);
        server_.close(ignored);
    }

    void readRequest()
    {
        client_.async_read_some(asio::buffer(request_),
            [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error || self->isSilent_)
                    return self->close();
                asio::async_write(self->server_, asio::buffer(self->request_, size),
                    [self](const asio::error_code& failure, std::size_t) {
                        failure ? self->close() : self->readRequest();
                    });
            });
    }

    void readAnswer()
    {
        server_.async_read_some(asio::buffer(answer_),
            [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error || self->isSilent_)
                    return self->close();
                self->timer_.expires_after(std::chrono::milliseconds(self->answerDelayMs_));
                self->timer_.async_wait([self, size](const asio::error_code&) { self->passAnswer(size); });
            });
    }

    void passAnswer(std::size_t size)
    {
        if (isSilent_)
            return;
        asio::async_write(client_, asio::buffer(answer_, size),
            [self = shared_from_this()](const asio::error_code& failure, std::size_t) {
                failure ? self->close() : self->readAnswer();
            });
    }

    tcp::socket client_;
    tcp::socket server_;
    asio::steady_timer timer_;
    int answerDelayMs_;
    bool isSilent_ = false;
    std::array<char, 65536> request_ {};
    std::array<char, 65536> answer_ {};
};

SilentProxy::SilentProxy(asio::io_context& io, std::uint16_t serverPort, int answerDelayMs)
    : io_(io)
    , server_(asio::ip::address_v4::loopback(), serverPort)
    , answerDelayMs_(answerDelayMs)
    , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    accept();
}

std::size_t SilentProxy::silence()
{
    std::size_t count = 0;
    for (const auto& weak : sessions_) {
        auto session = weak.lock();
        if (!session || !session->isOpen())
            continue;
        session->silence();
        silent_.push_back(std::move(session));
        ++count;
    }
    sessions_.clear();
    return count;
}

void SilentProxy::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error)
            return;
        auto session = std::make_shared<Session>(io_, std::move(socket), answerDelayMs_);
        sessions_.push_back(session);
        session->start(server_);
        accept();
    });
}

} // namespace review
