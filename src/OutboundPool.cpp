#include "OutboundPool.h"

#include "OutboundConnection.h"

#include <algorithm>

namespace fescue {

namespace {

    using asio::ip::tcp;

    void removeClosed(std::map<tcp::endpoint, std::vector<std::weak_ptr<OutboundConnection>>>& established)
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
    std::shared_ptr<OutboundConnection> takeIdle(OutboundPoolState& state, const OutboundRequest& request)
    {
        auto found = state.idle_.find(request.peer_);
        if (request.needsNewConnection_ || found == state.idle_.end())
            return nullptr;
        std::vector<IdleConnection>& idle = found->second;
        for (std::size_t i = idle.size(); i-- > 0;) {
            std::shared_ptr<OutboundConnection> connection = idle[i].connection_;
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
        explicit Call(std::shared_ptr<OutboundConnection> connection)
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

        std::shared_ptr<OutboundConnection> connection_;
        bool isFinished_ = false;
    };

} // namespace

struct OutboundPool::Impl : OutboundPoolState {
    Impl(asio::io_context& io, const OutboundLimits& limits)
        : OutboundPoolState { io, limits, {}, {}, {}, {}, 0 }
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
    std::shared_ptr<OutboundConnection> connection = takeIdle(*impl_, request);
    bool isNew = !connection;
    if (isNew)
        connection = std::make_shared<OutboundConnection>(impl_, request.peer_);
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
    auto connection = std::make_shared<OutboundConnection>(impl_, peer);
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

std::optional<MonotonicTime> OutboundPool::connectedSince(const tcp::endpoint& peer) const
{
    std::optional<MonotonicTime> since;
    auto established = impl_->established_.find(peer);
    if (established == impl_->established_.end())
        return since;
    for (const auto& entry : established->second) {
        auto connection = entry.lock();
        bool isOlder = connection && connection->isOpen() && (!since || connection->connectedAt() < *since);
        if (isOlder && connection->isPeerOpen())
            since = connection->connectedAt();
    }
    return since;
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

SocketBytes OutboundPool::socketBytes() const
{
    SocketBytes sum;
    for (const auto& [peer, connections] : impl_->established_) {
        for (const auto& entry : connections) {
            if (auto connection = entry.lock())
                sum += connection->socketBytes();
        }
    }
    return sum;
}

std::uint64_t OutboundPool::connectionsMade() const { return impl_->connectionsMade_; }

} // namespace fescue
