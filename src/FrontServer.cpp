#include "FrontServer.h"

#include "BootClock.h"
#include "TcpLink.h"

#include <deque>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <system_error>

namespace fescue {

namespace {

    using asio::ip::tcp;

    // Bytes of pipelined requests that are buffered while one is served; reading is paused beyond them.
    constexpr std::size_t maxPipelinedBytes = 256 * 1024;
    // A request waits while its caller has not read this much of earlier answers.
    constexpr std::size_t maxUnreadBytes = 256 * 1024;
    // A caller may reuse a connection until its idle timeout ends, and the close must not race with such a
    // request.
    constexpr Milliseconds idleTimeoutMargin { 500 };
    // Delay after a failed accept, for example when no file descriptors are left.
    constexpr Milliseconds acceptRetryDelay { 50 };

    int statusOf(HttpParseError error)
    {
        switch (error) {
        case HttpParseError::HeadTooLarge:
            return 431;
        case HttpParseError::BodyTooLarge:
            return 413;
        case HttpParseError::BadHead:
        case HttpParseError::BadBody:
            break;
        }
        return 400;
    }

    const char* messageOf(HttpParseError error)
    {
        switch (error) {
        case HttpParseError::HeadTooLarge:
            return "the request head is too large; send fewer or shorter header lines";
        case HttpParseError::BodyTooLarge:
            return "the request body is too large; send a smaller one";
        case HttpParseError::BadBody:
            return "the chunked encoding of the body is malformed; send valid chunks";
        case HttpParseError::BadHead:
            break;
        }
        return "the request head is malformed or its framing is ambiguous; send either one Content-Length or "
               "chunks";
    }

    class Session;

    struct Shared {
        FrontHandler handler_;
        FrontRejectionHandler onRejected_;
        FrontLimits limits_;
        std::set<std::shared_ptr<Session>> sessions_;
        std::vector<std::weak_ptr<TcpLink>> closing_; ///< Connections that close once all bytes are sent.
        bool isDraining_ = false;

        bool hasUnsentBytes() const;
        void dropClosed()
        {
            closing_.erase(std::remove_if(closing_.begin(), closing_.end(),
                               [](const auto& link) { return !isSending(link); }),
                closing_.end());
        }
        static bool isSending(const std::weak_ptr<TcpLink>& weak)
        {
            auto link = weak.lock();
            return link && link->isOpen() && link->queuedBytes() > 0;
        }
    };

    class Reply;

    // The connection of one caller.
    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(std::shared_ptr<TcpLink> link, std::shared_ptr<Shared> shared)
            : link_(std::move(link))
            , shared_(std::move(shared))
            , reader_(HttpReader::Side::Requests, shared_->limits_.message_)
            , lastActive_(bootNow())
        {
        }

        void start()
        {
            auto self = shared_from_this();
            link_->setCallbacks({ nullptr, [self](std::string_view data) { self->handleData(data); },
                [self](CloseReason) { self->handleClose(); } });
            link_->start();
        }

        void tick(MonotonicTime now);
        bool isIdle() const { return !reply_ && !reader_.hasStarted() && input_.empty(); }
        void shutDown();
        void close(bool isAborting)
        {
            link_->close(isAborting);
            unregister();
        }
        TcpLink& link() { return *link_; }
        bool isDraining() const { return shared_->isDraining_; }
        void handleResponseSent(bool keepsAlive);

    private:
        void handleData(std::string_view data);
        void parse();
        void dispatch();
        void reject(int status, const char* reason);
        void handleClose();
        void closeAfterFlush()
        {
            isClosing_ = true;
            input_.clear();
            link_->pauseReading(false);
            link_->closeAfterFlush();
        }
        bool canParse() const
        {
            return !reply_ && !isClosing_ && !input_.empty() && link_->isOpen()
                && link_->queuedBytes() <= maxUnreadBytes;
        }
        void unregister() { shared_->sessions_.erase(shared_from_this()); }

        std::shared_ptr<TcpLink> link_;
        std::shared_ptr<Shared> shared_;
        HttpReader reader_;
        std::string input_; ///< Received and not parsed yet.
        std::string body_;
        std::shared_ptr<Reply> reply_; ///< Of the request in flight.
        MonotonicTime lastActive_;
        std::optional<MonotonicTime> headStartedAt_;
        MonotonicTime headCompletedAt_;
        bool hasHead_ = false;
        bool isParsing_ = false;
        bool isPaused_ = false; ///< Reading is paused.
        bool isClosing_ = false; ///< What comes is not answered; the connection closes once all is sent.
    };

    class Reply final : public FrontReply {
    public:
        Reply(std::shared_ptr<Session> session, bool keepsAlive, bool isHead)
            : session_(std::move(session))
            , keepsAlive_(keepsAlive)
            , isHead_(isHead)
        {
        }

        void answer(HttpHead head, std::string_view body) override
        {
            if (!session_)
                return;
            bool hasNoBody = head.status_ == 204 || head.status_ == 304;
            if (!hasNoBody && !(isHead_ && findHeader(head, "Content-Length")))
                head.headers_.push_back({ "Content-Length", std::to_string(body.size()) });
            addConnection(head);
            std::string text = toText(head);
            if (!isHead_ && !hasNoBody)
                text.append(body);
            session_->link().send(text);
            finish();
        }

        void begin(HttpHead head) override
        {
            if (!session_)
                return;
            head.headers_.push_back({ "Transfer-Encoding", "chunked" });
            addConnection(head);
            hasBegun_ = true;
            session_->link().send(toText(head));
        }

        void write(std::string_view part) override
        {
            if (session_ && !part.empty())
                session_->link().send(toChunk(part));
        }

        void end() override
        {
            if (!session_)
                return;
            session_->link().send("0\r\n\r\n");
            finish();
        }

        void abort() override
        {
            if (!session_)
                return;
            onDisconnect_ = nullptr;
            auto session = std::move(session_);
            session->close(true);
        }

        std::size_t pendingBytes() const override { return session_ ? session_->link().queuedBytes() : 0; }

        void onDisconnect(std::function<void()> callback) override { onDisconnect_ = std::move(callback); }

        bool hasBegun() const { return hasBegun_; }

        void handleDisconnect()
        {
            session_ = nullptr;
            auto callback = std::move(onDisconnect_);
            onDisconnect_ = nullptr;
            if (callback)
                callback();
        }

    private:
        void addConnection(HttpHead& head)
        {
            keepsAlive_ = keepsAlive_ && !session_->isDraining();
            if (!keepsAlive_)
                head.headers_.push_back({ "Connection", "close" });
        }

        void finish()
        {
            onDisconnect_ = nullptr;
            auto session = std::move(session_);
            session->handleResponseSent(keepsAlive_);
        }

        std::shared_ptr<Session> session_;
        bool keepsAlive_;
        bool isHead_;
        bool hasBegun_ = false;
        std::function<void()> onDisconnect_;
    };

    void Session::handleData(std::string_view data)
    {
        if (isClosing_)
            return;
        lastActive_ = bootNow();
        input_.append(data);
        parse();
    }

    void Session::parse()
    {
        if (isParsing_)
            return;
        isParsing_ = true;
        auto self = shared_from_this();
        while (canParse()) {
            if (!reader_.hasStarted())
                reader_.setLimits(shared_->limits_.message_);
            std::size_t used = reader_.feed(input_);
            input_.erase(0, used);
            if (reader_.hasStarted() && !headStartedAt_)
                headStartedAt_ = lastActive_;
            if (reader_.error()) {
                reject(statusOf(*reader_.error()), messageOf(*reader_.error()));
                break;
            }
            if (!reader_.hasHead())
                break;
            if (!hasHead_) {
                hasHead_ = true;
                headCompletedAt_ = lastActive_;
                const std::string* expect = findHeader(reader_.head(), "Expect");
                if (expect && equalsIgnoreCase(*expect, "100-continue") && !reader_.isComplete())
                    link_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
            body_ += reader_.takeBody();
            if (!reader_.isComplete())
                break;
            dispatch();
        }
        isParsing_ = false;
        isPaused_ = input_.size() > maxPipelinedBytes;
        link_->pauseReading(isPaused_);
    }

    void Session::dispatch()
    {
        FrontRequest request { reader_.head(), std::move(body_), headCompletedAt_ };
        body_.clear();
        reader_.next();
        hasHead_ = false;
        headStartedAt_.reset();
        auto reply = std::make_shared<Reply>(shared_from_this(),
            request.head_.keepsAlive_ && request.head_.isHttp11_, request.head_.method_ == "HEAD");
        reply_ = reply;
        if (!request.head_.isHttp11_ || countHeader(request.head_, "Host") != 1) {
            const char* reason = "HTTP/1.1 with one Host header is required";
            shared_->onRejected_(400, reason, &request.head_);
            HttpHead head;
            head.status_ = 400;
            reply->answer(head, reason);
            return;
        }
        shared_->handler_(std::move(request), reply);
    }

    void Session::reject(int status, const char* reason)
    {
        shared_->onRejected_(status, reason, reader_.hasHead() ? &reader_.head() : nullptr);
        HttpHead head;
        head.status_ = status;
        head.headers_ = { { "Content-Length", std::to_string(std::string_view(reason).size()) },
            { "Connection", "close" } };
        link_->send(toText(head) + reason);
        closeAfterFlush();
        unregister();
    }

    void Session::handleResponseSent(bool keepsAlive)
    {
        reply_ = nullptr;
        lastActive_ = bootNow();
        if (!keepsAlive) {
            closeAfterFlush();
            shared_->closing_.push_back(link_);
            return unregister();
        }
        parse();
    }

    void Session::handleClose()
    {
        auto self = shared_from_this();
        unregister();
        if (auto reply = std::move(reply_))
            reply->handleDisconnect();
    }

    void Session::tick(MonotonicTime now)
    {
        // The end of the connection is not read while reading is paused.
        if (isPaused_ && !link_->isPeerOpen()) {
            link_->close();
            return handleClose();
        }
        const FrontLimits& limits = shared_->limits_;
        if (reply_)
            return;
        if (!input_.empty())
            return parse(); // Of a caller that was behind with reading.
        if (headStartedAt_ && !hasHead_ && now > *headStartedAt_ + limits.headTimeout_)
            return reject(408, "timed out waiting for the request head; send it without pauses");
        if (now <= lastActive_ + limits.idleTimeout_ + idleTimeoutMargin)
            return;
        if (hasHead_)
            return reject(408, "timed out waiting for the request body; send it without pauses");
        close(false);
    }

    void Session::shutDown()
    {
        constexpr int unavailable = 503;
        if (isIdle())
            return close(false);
        auto reply = std::move(reply_);
        if (reply && reply->hasBegun())
            close(true);
        else
            reject(unavailable, "this VM shuts down; send the request again");
        if (reply)
            reply->handleDisconnect();
    }

    bool Shared::hasUnsentBytes() const
    {
        return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
            return session->link().queuedBytes() > 0;
        }) || std::any_of(closing_.begin(), closing_.end(), isSending);
    }

} // namespace

struct FrontServer::Impl : std::enable_shared_from_this<FrontServer::Impl> {
    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
    std::optional<MonotonicTime> acceptRetryAt_;

    explicit Impl(asio::io_context& io)
        : io_(io)
        , acceptor_(io)
    {
    }

    void listen(const std::string& address)
    {
        auto endpoint = parseEndpoint(address);
        // Port 0 binds a free port; `parseEndpoint` rejects it, since it parses the addresses of peers.
        std::size_t colon = address.rfind(':');
        if (!endpoint && colon != std::string::npos && address.substr(colon) == ":0")
            endpoint = tcp::endpoint(asio::ip::make_address_v4(address.substr(0, colon)), 0);
        if (!endpoint)
            throw std::system_error(
                std::make_error_code(std::errc::invalid_argument), "cannot listen on " + address);
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(*endpoint);
        acceptor_.listen();
        accept();
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (!self->acceptor_.is_open())
                    return;
                if (error) {
                    self->acceptRetryAt_ = bootNow() + acceptRetryDelay;
                    return;
                }
                auto session = std::make_shared<Session>(TcpLink::accepted(std::move(socket)), self->shared_);
                self->shared_->sessions_.insert(session);
                session->start();
                self->accept();
            });
    }
};

std::shared_ptr<const bool> watchDisconnect(FrontReply& reply)
{
    auto isGone = std::make_shared<bool>(false);
    reply.onDisconnect([isGone] { *isGone = true; });
    return isGone;
}

FrontServer::FrontServer(
    asio::io_context& io, const std::string& address, FrontHandler handler, FrontRejectionHandler onRejected)
    : impl_(std::make_shared<Impl>(io))
{
    impl_->shared_->handler_ = std::move(handler);
    impl_->shared_->onRejected_ = std::move(onRejected);
    impl_->listen(address);
}

FrontServer::~FrontServer()
{
    asio::error_code ignored; // Failures to close the listening socket do not matter.
    impl_->acceptor_.close(ignored);
    auto sessions = std::move(impl_->shared_->sessions_);
    impl_->shared_->sessions_.clear();
    for (const auto& session : sessions)
        session->close(false);
}

void FrontServer::setLimits(const FrontLimits& limits) { impl_->shared_->limits_ = limits; }

void FrontServer::tick(MonotonicTime now)
{
    if (impl_->acceptRetryAt_ && now >= *impl_->acceptRetryAt_) {
        impl_->acceptRetryAt_.reset();
        impl_->accept();
    }
    impl_->shared_->dropClosed();
    auto sessions = impl_->shared_->sessions_;
    for (const auto& session : sessions)
        session->tick(now);
}

void FrontServer::drain() { impl_->shared_->isDraining_ = true; }

bool FrontServer::hasOpenRequests() const
{
    const auto& sessions = impl_->shared_->sessions_;
    return std::any_of(
        sessions.begin(), sessions.end(), [](const auto& session) { return !session->isIdle(); });
}

void FrontServer::shutDown()
{
    auto sessions = impl_->shared_->sessions_;
    for (const auto& session : sessions)
        session->shutDown();
}

bool FrontServer::hasUnsentBytes() const { return impl_->shared_->hasUnsentBytes(); }

std::size_t FrontServer::connections() const { return impl_->shared_->sessions_.size(); }

std::uint16_t FrontServer::port() const { return impl_->acceptor_.local_endpoint().port(); }

} // namespace fescue
