#include "OutboundPool.h"

#include "BootClock.h"
#include "TcpLink.h"

#include <algorithm>
#include <asio/post.hpp>
#include <map>
#include <set>
#include <xxhash.h>

namespace fescue {

namespace {

    using asio::ip::tcp;

    constexpr int ok = 200;
    constexpr int multipleChoices = 300;

    // The hash of a request's key. Two keys with one hash cost a connection, no more.
    std::uint64_t hashOf(const std::string& key) { return XXH64(key.data(), key.size(), 0); }

    class Connection;

    struct IdleConnection {
        std::shared_ptr<Connection> connection_;
        MonotonicTime expiresAt_;
    };

    struct PoolState {
        asio::io_context& io_;
        OutboundLimits limits_;
        std::map<tcp::endpoint, std::vector<IdleConnection>> idle_; ///< Most recently used at the back.
        std::set<std::shared_ptr<Connection>> connecting_;
        std::map<tcp::endpoint, std::vector<std::weak_ptr<Connection>>> established_;
        std::map<tcp::endpoint, MonotonicTime> lostAt_; ///< When a peer last closed a connection.
        std::uint64_t connectionsMade_ = 0;
    };

    // A connection with at most one exchange on it.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<PoolState> state, tcp::endpoint peer)
            : state_(std::move(state))
            , peer_(peer)
            , link_(TcpLink::create(state_->io_))
            , reader_(HttpReader::Side::Responses, state_->limits_.message_)
        {
        }

        void connect(Milliseconds timeout)
        {
            auto self = shared_from_this();
            link_->setCallbacks({ [self] { self->handleConnect(); },
                [self](std::string_view data) { self->handleData(data); },
                [self](CloseReason how) { self->handleEnd(how); } });
            connectDeadline_ = bootNow() + timeout;
            state_->connecting_.insert(self);
            ++state_->connectionsMade_;
            link_->connect(peer_);
        }

        void run(OutboundRequest request, OutboundCallbacks callbacks)
        {
            callbacks_ = std::move(callbacks);
            isBusy_ = true;
            acceptsUnframed_ = request.acceptsUnframed_;
            repeatKey_.reset();
            if (!request.repeatKey_.empty())
                repeatKey_ = hashOf(request.repeatKey_);
            skippedBytes_ = 0;
            request_ = serialize(request);
            if (request.head_.method_ == "HEAD")
                reader_.expectNoBody();
            if (isConnected_)
                sendRequest();
        }

        void probe(std::function<void(bool)> done) { onProbed_ = std::move(done); }

        void cancel()
        {
            state_->connecting_.erase(shared_from_this());
            // This may be called from one of the callbacks, which must not be destroyed before it returns.
            asio::post(state_->io_, [kept = std::make_shared<OutboundCallbacks>(std::move(callbacks_))] {});
            callbacks_ = {};
            isBusy_ = false;
            link_->close(true);
        }

        void pauseReading(bool isPaused) { link_->pauseReading(isPaused); }

        void tick(MonotonicTime now)
        {
            if (!isConnected_ && now > connectDeadline_) {
                link_->close(true);
                endProbe(false);
                finish(OutboundResult::Outcome::NotSent, "connection timed out");
            }
        }

        void close() { link_->close(); }
        bool hasAnswered(const std::string& key) const
        {
            return std::count(answeredKeys_.begin(), answeredKeys_.end(), hashOf(key)) > 0;
        }
        bool isUsable() const { return link_->isOpen() && !isBusy_; }
        bool isOpen() const { return link_->isOpen(); }
        bool isPeerOpen() const { return link_->isPeerOpen(); }
        // Whether it ends with the response that it carries.
        bool endsWithResponse() const { return isBusy_ && hasHead_ && !isDelimited(); }
        void recordLoss() { state_->lostAt_[peer_] = bootNow(); }
        MonotonicTime connectedAt() const { return connectedAt_; }

    private:
        static std::string serialize(OutboundRequest& request)
        {
            const std::string& method = request.head_.method_;
            if (!request.body_.empty() || (method != "GET" && method != "HEAD" && method != "DELETE"))
                request.head_.headers_.push_back({ "Content-Length", std::to_string(request.body_.size()) });
            return toText(request.head_) + request.body_;
        }

        void handleConnect()
        {
            state_->connecting_.erase(shared_from_this());
            isConnected_ = true;
            connectedAt_ = bootNow();
            state_->established_[peer_].push_back(weak_from_this());
            if (onProbed_)
                returnToPool(state_->limits_.idleTimeout_);
            endProbe(true);
            if (!isBusy_)
                return;
            if (callbacks_.onConnect_)
                callbacks_.onConnect_();
            sendRequest();
        }

        void endProbe(bool isConnected)
        {
            state_->connecting_.erase(shared_from_this());
            if (onProbed_)
                std::exchange(onProbed_, nullptr)(isConnected);
        }

        void sendRequest()
        {
            wasSent_ = true;
            link_->send(request_);
            request_.clear();
            request_.shrink_to_fit();
        }

        void handleData(std::string_view data)
        {
            if (!isBusy_) {
                // Bytes without a request: a later response could not be matched to its request.
                return discard();
            }
            auto self = shared_from_this();
            while (!data.empty() && isBusy_) {
                bool isBeforeResponse = !hasHead_ || isForOtherRequest_;
                std::size_t used = reader_.feed(data);
                data.remove_prefix(used);
                if (reader_.error())
                    return fail("the response is not valid HTTP");
                skippedBytes_ += isBeforeResponse ? used : 0;
                if (skippedBytes_ > state_->limits_.maxSkippedBytes_)
                    return fail("the connection carries too many bytes that belong to no request");
                if (!reader_.hasHead())
                    return;
                if (!forwardMessage())
                    return;
                if (reader_.isComplete())
                    completeMessage(!data.empty());
            }
        }

        bool isDelimited() const { return reader_.head().framing_ == BodyFraming::Delimited; }

        // Forwards the head and the body. Returns false when the exchange has ended.
        bool forwardMessage()
        {
            bool isInterim = reader_.head().status_ < 200;
            if (!hasHead_ && !isInterim) {
                hasHead_ = true;
                isForOtherRequest_
                    = callbacks_.matchesRequest_ && !callbacks_.matchesRequest_(reader_.head(), !isReused_);
                if (!isForOtherRequest_ && callbacks_.onHead_)
                    callbacks_.onHead_(reader_.head());
            }
            std::string body = reader_.takeBody();
            if (isBusy_ && !body.empty() && !isForOtherRequest_ && callbacks_.onBody_)
                callbacks_.onBody_(std::move(body));
            return isBusy_;
        }

        void completeMessage(bool hasMore)
        {
            if (!hasHead_ || isForOtherRequest_) { // An interim response, or one to an earlier request.
                bool canContinue = isDelimited() && reader_.head().keepsAlive_;
                hasHead_ = false;
                isForOtherRequest_ = false;
                reader_.next();
                if (!canContinue)
                    fail("received only a response to another request");
                return;
            }
            bool isSuccess = reader_.head().status_ >= ok && reader_.head().status_ < multipleChoices;
            if (repeatKey_ && !isSuccess)
                answeredKeys_.push_back(*repeatKey_);
            bool canReuse = isDelimited() && reader_.head().keepsAlive_ && !hasMore
                && link_->queuedBytes() == 0 && !link_->hasWriteFailed()
                && answeredKeys_.size() < state_->limits_.maxAnsweredKeys_;
            Milliseconds idleTimeout = state_->limits_.idleTimeout_;
            if (auto announced = announcedIdleTimeout(reader_.head()))
                idleTimeout = std::min(idleTimeout, *announced - state_->limits_.idleTimeoutMargin_);
            reader_.next();
            hasHead_ = false;
            bool wasReused = std::exchange(isReused_, true);
            isBusy_ = false;
            link_->pauseReading(false); // A pause ends with its exchange.
            auto callbacks = std::move(callbacks_);
            callbacks_ = {};
            if (canReuse && idleTimeout.count() > 0)
                returnToPool(idleTimeout);
            else
                link_->close();
            if (callbacks.onEnd_)
                callbacks.onEnd_({ OutboundResult::Outcome::Answered, wasReused, true, connectionEnd_, "" });
        }

        void returnToPool(Milliseconds idleTimeout)
        {
            wasSent_ = false;
            std::vector<IdleConnection>& idle = state_->idle_[peer_];
            if (idle.size() >= state_->limits_.maxIdlePerPeer_) {
                idle.front().connection_->close();
                idle.erase(idle.begin());
            }
            idle.push_back({ shared_from_this(), bootNow() + idleTimeout });
        }

        void discard()
        {
            link_->close(true);
            removeFromIdle();
        }

        void removeFromIdle()
        {
            auto found = state_->idle_.find(peer_);
            if (found == state_->idle_.end())
                return;
            auto& idle = found->second;
            idle.erase(std::remove_if(idle.begin(), idle.end(),
                           [this](const IdleConnection& entry) { return entry.connection_.get() == this; }),
                idle.end());
        }

        void handleEnd(CloseReason how)
        {
            auto self = shared_from_this();
            endProbe(false);
            if (isConnected_ && !endsWithResponse())
                recordLoss();
            if (!isBusy_)
                return removeFromIdle();
            if (how != CloseReason::ConnectFailed)
                connectionEnd_ = how == CloseReason::ClosedByPeer ? OutboundResult::ConnectionEnd::Closed
                                                                  : OutboundResult::ConnectionEnd::Reset;
            // A response without a length ends with its connection; after a reset it is incomplete.
            if (how == CloseReason::ClosedByPeer && hasHead_ && !isForOtherRequest_) {
                reader_.feedEof();
                if (reader_.isComplete() && acceptsUnframed_)
                    return completeMessage(false);
            }
            fail(how == CloseReason::ConnectFailed ? "connection failed"
                                                   : "connection closed before the end of the response");
        }

        void fail(const char* reason)
        {
            link_->close(true);
            finish(wasSent_ ? OutboundResult::Outcome::Unknown : OutboundResult::Outcome::NotSent, reason);
        }

        void finish(OutboundResult::Outcome outcome, const char* reason)
        {
            state_->connecting_.erase(shared_from_this());
            if (!isBusy_)
                return;
            isBusy_ = false;
            auto callbacks = std::move(callbacks_);
            callbacks_ = {};
            if (callbacks.onEnd_)
                callbacks.onEnd_({ outcome, isReused_, hasHead_, connectionEnd_, reason });
        }

        std::shared_ptr<PoolState> state_;
        tcp::endpoint peer_;
        std::shared_ptr<TcpLink> link_;
        HttpReader reader_;
        OutboundCallbacks callbacks_;
        std::function<void(bool)> onProbed_; ///< Of a connection that is opened without a request.
        std::string request_;
        std::optional<std::uint64_t> repeatKey_; ///< Of the current request.
        std::vector<std::uint64_t> answeredKeys_; ///< Of requests that may be sent again.
        MonotonicTime connectDeadline_;
        MonotonicTime connectedAt_;
        bool isConnected_ = false;
        bool isBusy_ = false;
        bool isReused_ = false;
        bool wasSent_ = false;
        bool acceptsUnframed_ = false;
        std::size_t skippedBytes_ = 0; ///< Received before the response to the current request.
        OutboundResult::ConnectionEnd connectionEnd_ = OutboundResult::ConnectionEnd::Open;
        bool hasHead_ = false;
        bool isForOtherRequest_ = false;
    };

    void removeClosed(std::map<tcp::endpoint, std::vector<std::weak_ptr<Connection>>>& established)
    {
        for (auto peer = established.begin(); peer != established.end();) {
            auto& connections = peer->second;
            connections.erase(std::remove_if(connections.begin(), connections.end(),
                                  [](const auto& entry) {
                                      auto connection = entry.lock();
                                      return !connection || !connection->isOpen();
                                  }),
                connections.end());
            peer = connections.empty() ? established.erase(peer) : std::next(peer);
        }
    }

    void forgetLosses(std::map<tcp::endpoint, MonotonicTime>& lostAt, MonotonicTime now)
    {
        constexpr Milliseconds retention { 1000 };
        for (auto loss = lostAt.begin(); loss != lostAt.end();)
            loss = now > loss->second + retention ? lostAt.erase(loss) : std::next(loss);
    }

    // Takes the most recently used connection that may carry a request; null if there is none.
    std::shared_ptr<Connection> takeIdle(PoolState& state, const OutboundRequest& request)
    {
        auto found = state.idle_.find(request.peer_);
        if (request.needsNewConnection_ || found == state.idle_.end())
            return nullptr;
        std::vector<IdleConnection>& idle = found->second;
        for (std::size_t i = idle.size(); i-- > 0;) {
            std::shared_ptr<Connection> connection = idle[i].connection_;
            bool isUsable = connection->isUsable() && bootNow() < idle[i].expiresAt_;
            if (isUsable && !request.repeatKey_.empty() && connection->hasAnswered(request.repeatKey_))
                continue;
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
            if (isUsable)
                return connection;
            connection->close();
        }
        return nullptr;
    }

    class Call final : public OutboundCall {
    public:
        explicit Call(std::shared_ptr<Connection> connection)
            : connection_(std::move(connection))
        {
        }
        void cancel() override
        {
            if (connection_ && !isFinished_)
                connection_->cancel();
            isFinished_ = true;
        }
        void pauseReading(bool isPaused) override
        {
            if (connection_ && !isFinished_)
                connection_->pauseReading(isPaused);
        }

        bool isPeerOpen() const override { return connection_ && connection_->isPeerOpen(); }

        std::shared_ptr<Connection> connection_;
        bool isFinished_ = false;
    };

} // namespace

struct OutboundPool::Impl : PoolState {
    Impl(asio::io_context& io, const OutboundLimits& limits)
        : PoolState { io, limits, {}, {}, {}, {}, 0 }
    {
    }
};

OutboundPool::OutboundPool(asio::io_context& io, const OutboundLimits& limits)
    : impl_(std::make_shared<Impl>(io, limits))
{
}

OutboundPool::~OutboundPool() { closeIdle(); }

std::shared_ptr<OutboundCall> OutboundPool::send(OutboundRequest request, OutboundCallbacks callbacks)
{
    std::shared_ptr<Connection> connection = takeIdle(*impl_, request);
    bool isNew = !connection;
    if (isNew)
        connection = std::make_shared<Connection>(impl_, request.peer_);
    auto call = std::make_shared<Call>(connection);
    // After the exchange the connection may serve another one, which a late cancel must not affect.
    auto onEnd = std::move(callbacks.onEnd_);
    callbacks.onEnd_ = [call, onEnd = std::move(onEnd)](const OutboundResult& end) {
        call->isFinished_ = true;
        call->connection_ = nullptr;
        if (onEnd)
            onEnd(end);
    };
    Milliseconds timeout = request.connectTimeout_;
    connection->run(std::move(request), std::move(callbacks));
    if (isNew)
        connection->connect(timeout);
    return call;
}

void OutboundPool::probe(const tcp::endpoint& peer, std::function<void(bool isConnected)> done)
{
    auto connection = std::make_shared<Connection>(impl_, peer);
    connection->probe(std::move(done));
    connection->connect(OutboundRequest {}.connectTimeout_);
}

void OutboundPool::tick(MonotonicTime now)
{
    auto connecting = impl_->connecting_;
    for (const auto& connection : connecting)
        connection->tick(now);
    removeClosed(impl_->established_);
    forgetLosses(impl_->lostAt_, now);
    for (auto peer = impl_->idle_.begin(); peer != impl_->idle_.end();) {
        auto& idle = peer->second;
        for (IdleConnection& entry : idle) {
            if (now >= entry.expiresAt_)
                entry.connection_->close();
        }
        idle.erase(std::remove_if(idle.begin(), idle.end(),
                       [now](const IdleConnection& entry) { return now >= entry.expiresAt_; }),
            idle.end());
        peer = idle.empty() ? impl_->idle_.erase(peer) : std::next(peer);
    }
}

PeerConnections OutboundPool::connectionsTo(const tcp::endpoint& peer, MonotonicTime time) const
{
    PeerConnections found;
    if (auto lost = impl_->lostAt_.find(peer); lost != impl_->lostAt_.end())
        found.lostAt_ = lost->second;
    auto established = impl_->established_.find(peer);
    if (established == impl_->established_.end())
        return found;
    for (const auto& entry : established->second) {
        auto connection = entry.lock();
        if (!connection || !connection->isOpen() || connection->connectedAt() >= time)
            continue;
        std::size_t lasting = connection->endsWithResponse() ? 0 : 1;
        if (connection->isPeerOpen()) {
            ++found.open_;
            found.lasting_ += lasting;
        } else if (lasting > 0)
            found.lostAt_ = bootNow(); // The end has not been read yet.
    }
    return found;
}

void OutboundPool::closeIdle()
{
    for (auto& [peer, idle] : impl_->idle_) {
        for (IdleConnection& entry : idle) {
            if (!entry.connection_->isPeerOpen())
                entry.connection_->recordLoss();
            entry.connection_->close();
        }
    }
    impl_->idle_.clear();
}

std::uint64_t OutboundPool::connectionsMade() const { return impl_->connectionsMade_; }

} // namespace fescue
