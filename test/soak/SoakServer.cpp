#include "SoakServer.h"

#include "BootClock.h"
#include "TcpLink.h"

namespace fescue::test {

namespace {

    using asio::ip::tcp;

    struct Handlers {
        FrontHandler onRequest_;
        FrontRejectionHandler onRejected_;
    };

    class Reply final : public FrontReply {
    public:
        explicit Reply(std::shared_ptr<TcpLink> link)
            : link_(std::move(link))
        {
        }

        void answer(HttpHead head, std::string_view body) override
        {
            head.headers_.push_back({ "Content-Length", std::to_string(body.size()) });
            link_->send(toText(head).append(body));
            isComplete_ = true;
        }

        void begin(HttpHead head) override
        {
            isUnframed_ = head.framing_ == BodyFraming::UntilClose;
            head.headers_.push_back(isUnframed_ ? HttpHeader { "Connection", "close" }
                                                : HttpHeader { "Transfer-Encoding", "chunked" });
            link_->send(toText(head));
        }

        void write(std::string_view part) override
        {
            link_->send(isUnframed_ ? std::string(part) : toChunk(part));
        }

        void end() override
        {
            isComplete_ = true;
            if (isUnframed_)
                link_->closeAfterFlush();
            else
                link_->send("0\r\n\r\n");
        }

        void abort() override
        {
            isComplete_ = true;
            link_->close(true);
        }

        std::size_t pendingBytes() const override { return link_->queuedBytes(); }
        void onDisconnect(std::function<void()> callback) override { onDisconnect_ = std::move(callback); }

        void handleDisconnect()
        {
            if (!isComplete_ && onDisconnect_)
                onDisconnect_();
            onDisconnect_ = nullptr;
        }

    private:
        std::shared_ptr<TcpLink> link_;
        std::function<void()> onDisconnect_;
        bool isUnframed_ = false;
        bool isComplete_ = false;
    };

    // One connection. Its requests are answered one after another.
    struct Session : std::enable_shared_from_this<Session> {
        std::shared_ptr<TcpLink> link_;
        std::shared_ptr<Handlers> handlers_;
        HttpReader reader_ { HttpReader::Side::Requests, HttpLimits {} };
        std::shared_ptr<Reply> reply_;

        Session(std::shared_ptr<TcpLink> link, std::shared_ptr<Handlers> handlers)
            : link_(std::move(link))
            , handlers_(std::move(handlers))
        {
        }

        void start()
        {
            auto self = shared_from_this();
            link_->setCallbacks({ nullptr, [self](std::string_view data) { self->handleData(data); },
                [self](CloseReason) { self->handleClose(); } });
            link_->start();
        }

        void handleData(std::string_view data)
        {
            while (!data.empty()) {
                data.remove_prefix(reader_.feed(data));
                if (reader_.error()) {
                    handlers_->onRejected_(400, "malformed message", nullptr);
                    return link_->close(true);
                }
                if (!reader_.isComplete())
                    return;
                FrontRequest request { reader_.head(), reader_.takeBody(), bootNow() };
                reader_.next();
                reply_ = std::make_shared<Reply>(link_);
                handlers_->onRequest_(std::move(request), reply_);
            }
        }

        void handleClose()
        {
            if (reply_)
                reply_->handleDisconnect();
            reply_.reset();
        }
    };

} // namespace

struct SoakServer::Impl : std::enable_shared_from_this<SoakServer::Impl> {
    tcp::acceptor acceptor_;
    std::shared_ptr<Handlers> handlers_;

    Impl(asio::io_context& io, FrontHandler handler, FrontRejectionHandler onRejected)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , handlers_(std::make_shared<Handlers>(Handlers { std::move(handler), std::move(onRejected) }))
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (error)
                    return;
                std::make_shared<Session>(TcpLink::accepted(std::move(socket)), self->handlers_)->start();
                self->accept();
            });
    }
};

SoakServer::SoakServer(asio::io_context& io, FrontHandler handler, FrontRejectionHandler onRejected)
    : impl_(std::make_shared<Impl>(io, std::move(handler), std::move(onRejected)))
{
    impl_->accept();
}

SoakServer::~SoakServer() { impl_->acceptor_.close(); }

std::uint16_t SoakServer::port() const { return impl_->acceptor_.local_endpoint().port(); }

} // namespace fescue::test
