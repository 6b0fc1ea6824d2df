#pragma once

/** \file
 * OutboundConnection: one connection of an `OutboundPool`, with at most one exchange on it. For
 * OutboundPool.cpp only, which lends it to requests.
 */

#include "BootClock.h"
#include "OutboundPool.h"

#include <map>
#include <set>

namespace fescue {

class OutboundConnection;

/** A connection that may carry the next request to its peer. */
struct IdleConnection {
    std::shared_ptr<OutboundConnection> connection_;
    MonotonicTime expiresAt_;
};

/** What the connections of a pool share with it. */
struct OutboundPoolState {
    asio::io_context& io_;
    OutboundLimits limits_;
    std::map<asio::ip::tcp::endpoint, std::vector<IdleConnection>> idle_; ///< Most recently used at the back.
    std::set<std::shared_ptr<OutboundConnection>> connecting_;
    std::map<asio::ip::tcp::endpoint, std::vector<std::weak_ptr<OutboundConnection>>> established_;
    std::map<asio::ip::tcp::endpoint, MonotonicTime> lostAt_; ///< When a peer last closed a connection.
    std::uint64_t connectionsMade_ = 0;
};

/** Keeps itself alive until it is closed. Not thread-safe: all functions must be called on the thread that
 * runs the event loop. */
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection> {
public:
    /** Creates a connection to `peer`; `connect` follows. */
    OutboundConnection(std::shared_ptr<OutboundPoolState> state, asio::ip::tcp::endpoint peer);

    /** Opens the connection, and sends the request that `run` has given it. */
    void connect(Milliseconds timeout);
    /** Carries out an exchange. Precondition: no other one is on the connection. */
    void run(OutboundRequest request, OutboundCallbacks callbacks);
    /** Calls `done` when the connection is open or has failed; precedes `connect`. */
    void probe(std::function<void(bool)> done) { onProbed_ = std::move(done); }
    /** Ends the exchange and the connection; no callback is invoked afterwards. */
    void cancel();
    void pauseReading(bool isPaused) { link_->pauseReading(isPaused); }
    /** Gives up a connection that has not been opened in time. */
    void tick(MonotonicTime now);
    void close() { link_->close(); }

    /** Whether it has received an answer, other than a success, to a request with this key. */
    bool hasAnswered(const std::string& key) const;
    bool isUsable() const { return link_->isOpen() && !isBusy_; }
    bool isOpen() const { return link_->isOpen(); }
    bool isPeerOpen() const { return link_->isPeerOpen(); }
    SocketBytes socketBytes() const { return link_->socketBytes(); }
    /** Whether it ends with the response that it carries. */
    bool endsWithResponse() const { return isBusy_ && hasHead_ && !isDelimited(); }
    MonotonicTime connectedAt() const { return connectedAt_; }
    void recordLoss() { state_->lostAt_[peer_] = bootNow(); }

private:
    static std::string serialize(OutboundRequest& request);
    void handleConnect();
    void endProbe(bool isConnected);
    void sendRequest();
    void handleData(std::string_view data);
    bool isDelimited() const { return reader_.head().framing_ == BodyFraming::Delimited; }
    // Forwards the head and the body. Returns false when the exchange has ended.
    bool forwardMessage();
    void completeMessage(bool hasMore);
    void returnToPool(Milliseconds idleTimeout);
    void discard();
    void removeFromIdle();
    void handleEnd(CloseReason how);
    void fail(const char* reason);
    void finish(OutboundResult::Outcome outcome, const char* reason);

    std::shared_ptr<OutboundPoolState> state_;
    asio::ip::tcp::endpoint peer_;
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

} // namespace fescue
