#pragma once

/** \file
 * OutboundPool: HTTP client of an entry VM for targets and the platform's store, with persistent connections.
 *
 * The result of each exchange states whether a byte of the request may have left this process, since only
 * then may the request have run. The pool never retries. A connection is not reused after it has received
 * bytes that belong to no request, or a response that is not self-delimiting.
 *
 * A faulty peer may send a response once more, at the point where the next one is expected. The id of the
 * request tells it from the response to another request, but not from the response to the next send of the
 * same one. So a request that is sent again never takes a connection that has already answered it.
 */

#include "HttpWire.h"
#include "TcpLink.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace fescue {

/** A request to a peer. */
struct OutboundRequest {
    asio::ip::tcp::endpoint peer_;
    HttpHead head_; ///< Without `Content-Length`, which is added.
    std::string body_;
    Milliseconds connectTimeout_ { 300 };
    bool needsNewConnection_ = false;
    /** Identifies a request that may be sent again unless a 2xx response ends it; empty if it never is. */
    std::string repeatKey_;
    /** Whether a response may end with its connection. Otherwise such a response counts as lost, since its
     * end does not show that it is complete. */
    bool acceptsUnframed_ = false;
};

/** Result of an exchange. */
struct OutboundResult {
    enum class Outcome {
        Answered, ///< The complete response was received.
        NotSent, ///< No byte of the request left this process.
        Unknown, ///< The request may have arrived, but no complete response was received.
    };
    enum class ConnectionEnd {
        Open, ///< Not ended by the peer or the network.
        Closed, ///< Closed by the peer.
        Reset, ///< Reset by the peer, timed out or failed otherwise.
    };
    Outcome outcome_ = Outcome::Unknown;
    bool wasReused_ = false; ///< The connection had carried earlier requests.
    bool hadHead_ = false; ///< The head of the response was received.
    ConnectionEnd connectionEnd_ = ConnectionEnd::Open; ///< Until the exchange ended.
    const char* reason_ = "";
};

/** Callbacks of an exchange. */
struct OutboundCallbacks {
    /** Whether a response belongs to this request; other responses are skipped. `isFirst`: the connection
     * has carried no other request. Optional. */
    std::function<bool(const HttpHead&, bool isFirst)> matchesRequest_;
    std::function<void()> onConnect_; ///< A new connection was established for the exchange. Optional.
    std::function<void(const HttpHead&)> onHead_;
    std::function<void(std::string)> onBody_;
    std::function<void(const OutboundResult&)> onEnd_; ///< Called once, unless the exchange is cancelled.
};

/** An exchange in progress. */
class OutboundCall {
public:
    virtual ~OutboundCall() = default;
    /** Closes the connection, so that the peer aborts its work; no callback follows. */
    virtual void cancel() = 0;
    /** Stops or resumes reading the response, for flow control. A pause ends with the exchange. */
    virtual void pauseReading(bool isPaused) = 0;
    /** Whether the peer has neither closed nor reset the connection, as the operating system knows it now. */
    virtual bool isPeerOpen() const = 0;
};

/** Limits of persistent connections. */
struct OutboundLimits {
    std::size_t maxIdlePerPeer_ = 32;
    Milliseconds idleTimeout_ { 4000 }; ///< For peers that announce no timeout of idle connections.
    /** Subtracted from an announced timeout, so that a reuse does not race with the peer's close. */
    Milliseconds idleTimeoutMargin_ { 1000 };
    HttpLimits message_ { 64 * 1024, 64 * 1024 * 1024 };
    SocketBuffers buffers_ = outboundBuffers;
    /** Bytes of empty lines, interim responses and responses to other requests before the response. */
    std::size_t maxSkippedBytes_ = 256 * 1024;
    /** Requests without a 2xx response that one connection may have answered; it is closed then. */
    std::size_t maxAnsweredKeys_ = 128;
};

/** What a pool's connections show of the process at a peer's address. A process that has ended has none. */
struct PeerConnections {
    std::size_t open_ = 0; ///< The peer has not closed them.
    std::size_t lasting_ = 0; ///< Of these, without those that end with the response that they carry.
    /** When the peer last closed or reset one that did not end with a response; nothing if that is long ago.
     */
    std::optional<MonotonicTime> lostAt_;
};

/** Connections to peers. Confined to the thread of the event loop. */
class OutboundPool {
public:
    explicit OutboundPool(asio::io_context& io, const OutboundLimits& limits = {});
    ~OutboundPool();

    std::shared_ptr<OutboundCall> send(OutboundRequest request, OutboundCallbacks callbacks);
    /** Opens a connection without a request and keeps it for later ones. `done` is called once with whether
     * the peer accepted it. */
    void probe(const asio::ip::tcp::endpoint& peer, std::function<void(bool isConnected)> done);
    /** Fails connection attempts that time out and closes idle connections. To be called periodically. */
    void tick(MonotonicTime now);
    /** Closes all idle connections: after a pause of the VM their peers may have closed them unnoticed. */
    void closeIdle();
    /** The connections to a peer that were established before `time`, as the operating system knows them now.
     */
    PeerConnections connectionsTo(const asio::ip::tcp::endpoint& peer, MonotonicTime time) const;
    /** When the oldest connection to a peer that is open now was established; nothing if none is open. */
    std::optional<MonotonicTime> connectedSince(const asio::ip::tcp::endpoint& peer) const;
    /** What the kernel holds for its connections; reads each socket. */
    SocketBytes socketBytes() const;
    /** Number of connections opened since the start. */
    std::uint64_t connectionsMade() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
