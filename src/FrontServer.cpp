#include "FrontServer.h"

#include "BootClock.h"
#include "FrontBuffersImpl.h"
#include "FrontReplyImpl.h"
#include "FrontRoomImpl.h"
#include "FrontSessionImpl.h"
#include "FrontTurnsImpl.h"
#include "HostErrors.h"
#include "TcpLink.h"

#include <algorithm>
#include <asio/post.hpp>
#include <fmt/format.h>
#include <optional>
#include <system_error>

namespace fescue {

namespace {

    using asio::ip::tcp;

    // Delay after a failed accept, for example when no file descriptors are left.
    constexpr Milliseconds acceptRetryDelay { 50 };
    constexpr Milliseconds listenRetryDelay { 50 };

    tcp::endpoint endpointOf(const std::string& address)
    {
        auto endpoint = parseEndpoint(address);
        // Port 0 binds a free port; `parseEndpoint` rejects it, since it parses the addresses of peers.
        std::size_t colon = address.rfind(':');
        if (!endpoint && colon != std::string::npos && address.substr(colon) == ":0")
            endpoint = tcp::endpoint(asio::ip::make_address_v4(address.substr(0, colon)), 0);
        if (!endpoint)
            throw std::system_error(
                std::make_error_code(std::errc::invalid_argument), "cannot listen on " + address);
        return *endpoint;
    }

} // namespace

struct FrontServer::Impl : std::enable_shared_from_this<FrontServer::Impl> {
    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::shared_ptr<FrontShared> shared_;
    std::optional<MonotonicTime> acceptRetryAt_;
    std::string address_;
    tcp::endpoint endpoint_;
    std::optional<ListenWait> listenWait_; ///< Nothing once it listens.
    MonotonicTime listenRetryAt_;
    bool leavesAddress_ = false;
    MonotonicTime displaceAgainAt_;
    std::optional<tcp::socket> accepted_; ///< Accepted, and not served yet.

    Impl(asio::io_context& io, const std::string& address)
        : io_(io)
        , acceptor_(io)
        , shared_(std::make_shared<FrontShared>(io))
        , address_(address)
        , endpoint_(endpointOf(address))
    {
    }

    // Throws if the first try fails for a reason that cannot pass.
    void listen(MonotonicTime now)
    {
        asio::error_code error = tryListen();
        if (!error) {
            listenWait_.reset();
            return accept();
        }
        if (!listenWait_ && !mayPass(error))
            throw std::system_error(error, "cannot listen on " + address_);
        if (!listenWait_)
            listenWait_ = ListenWait { address_, {}, now };
        listenWait_->reason_ = error.message();
        listenRetryAt_ = now + listenRetryDelay;
    }

    asio::error_code tryListen()
    {
        asio::error_code error;
        acceptor_.open(tcp::v4(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        setBufferSizes(acceptor_, narrowBuffers); // Connections inherit them, also those that wait.
        if (!error)
            acceptor_.bind(endpoint_, error);
        if (!error)
            acceptor_.listen(maxAcceptQueue, error);
        if (!error)
            acceptor_.non_blocking(true, error);
        asio::error_code ignored;
        if (error)
            acceptor_.close(ignored);
        return error;
    }

    bool isAtLimit() const
    {
        std::size_t limit = shared_->limits_.maxConnections_;
        return limit > 0 && shared_->servedConnections() >= limit;
    }

    // Looking through all connections takes time, and most attempts of a crowd find none.
    bool displaceOne(MonotonicTime now)
    {
        constexpr Milliseconds pause { 10 };
        if (now < displaceAgainAt_)
            return false;
        if (shared_->displaceOne(now))
            return true;
        if (shared_->awaitingFirstTurn_.empty())
            displaceAgainAt_ = now + pause;
        return false;
    }

    // Returns false if the connection has to wait for the first turns of others, which may give way then.
    bool serve(tcp::socket& socket)
    {
        if (isAtLimit())
            shared_->dropClosed(bootNow());
        bool isSurplus = isAtLimit() && !displaceOne(bootNow());
        if (isSurplus && !shared_->awaitingFirstTurn_.empty())
            return false;
        if (isSurplus && shared_->surplus_ >= surplusConnections && !shared_->displaceSurplus(bootNow())) {
            tcp::socket closed(std::move(socket)); // Unread, so its caller may repeat any request.
            return true;
        }
        auto session = std::make_shared<FrontSession>(TcpLink::accepted(std::move(socket)), shared_);
        if (isSurplus)
            shared_->addSurplus(session);
        shared_->sessions_.insert(session);
        session->start();
        return true;
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (!self->acceptor_.is_open())
                    return;
                if (error) {
                    // Without descriptors, links to the store and to targets need one before callers do.
                    if (error == asio::error::no_descriptors && !self->shared_->displaceSurplus(bootNow()))
                        self->shared_->displaceOne(bootNow());
                    self->acceptRetryAt_ = bootNow() + acceptRetryDelay;
                    return;
                }
                self->accepted_ = std::move(socket);
                self->serveAccepted();
            });
    }

    // Also connections that wait already, so that ordinary callers need not wait behind a crowd of them.
    // Those that come later have to wait until everything else that is due has run.
    void serveAccepted()
    {
        constexpr int maxAccepts = 64;
        constexpr Milliseconds slice { 2 };
        MonotonicTime end = bootNow() + slice;
        for (int i = 0; i < maxAccepts && bootNow() < end && serve(*accepted_); ++i) {
            accepted_.reset();
            tcp::socket socket(io_);
            asio::error_code error;
            acceptor_.accept(socket, error);
            if (error)
                return accept(); // The next wait meets it again, unless no connection is left.
            accepted_ = std::move(socket);
        }
        asio::post(io_, [self = shared_from_this()] {
            if (self->acceptor_.is_open())
                self->serveAccepted();
        });
    }
};

std::shared_ptr<const bool> watchDisconnect(FrontReply& reply)
{
    auto isGone = std::make_shared<bool>(false);
    reply.onDisconnect([isGone] { *isGone = true; });
    return isGone;
}

FrontLimits peerLimits(std::int64_t memoryMb)
{
    FrontLimits limits;
    limits.memory_ = peerBudget(memoryMb);
    limits.maxConnections_ = maxConnections(limits.memory_);
    return limits;
}

FrontLimits monitoringLimits()
{
    FrontLimits limits;
    limits.memory_ = monitoringBudget();
    limits.maxConnections_ = maxConnections(limits.memory_);
    limits.displacesBusy_ = true;
    return limits;
}

FrontServer::FrontServer(
    asio::io_context& io, const std::string& address, FrontHandler handler, FrontRejectionHandler onRejected)
    : impl_(std::make_shared<Impl>(io, address))
{
    impl_->shared_->handler_ = std::move(handler);
    impl_->shared_->onRejected_ = std::move(onRejected);
    impl_->listen(bootNow());
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

void FrontServer::onEvent(std::function<void(FrontEvent, std::size_t)> handler)
{
    impl_->shared_->onEvent_ = std::move(handler);
}

void FrontServer::tick(MonotonicTime now)
{
    bool awaitsAddress = impl_->listenWait_ && !impl_->leavesAddress_;
    if (awaitsAddress && now >= impl_->listenRetryAt_)
        impl_->listen(now);
    if (impl_->acceptRetryAt_ && now >= *impl_->acceptRetryAt_) {
        impl_->acceptRetryAt_.reset();
        impl_->accept();
    }
    impl_->shared_->dropClosed(now);
    auto sessions = impl_->shared_->sessions_;
    for (const auto& session : sessions)
        session->tick(now);
    impl_->shared_->reclaim(now);
}

void FrontServer::leaveAddress() { impl_->leavesAddress_ = true; }

void FrontServer::drain()
{
    leaveAddress();
    impl_->shared_->isDraining_ = true;
}

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

HeldMemory FrontServer::heldMemory() const { return impl_->shared_->held_; }

SocketBytes FrontServer::socketBytes() const { return impl_->shared_->socketBytes(); }

const std::optional<ListenWait>& FrontServer::listenWait() const { return impl_->listenWait_; }

std::uint16_t FrontServer::port() const { return impl_->acceptor_.local_endpoint().port(); }

} // namespace fescue
