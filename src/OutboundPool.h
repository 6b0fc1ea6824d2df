#pragma once

/** \file
 * OutboundPool: requests of an entry VM to targets and to the platform's store, on connections that are kept.
 *
 * The result of each exchange says whether a byte of the request may have left, since only then may the
 * request have run. Nothing is ever sent a second time here. A connection that brings bytes which belong to
 * no request, or whose answer has no end of its own, is not used again.
 */

#include "HttpWire.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace fescue {

/** A request to a peer. */
struct OutboundRequest {
    asio::ip::tcp::endpoint peer_;
    HttpHead head_; ///< Without its length, which is added.
    std::string body_;
    Milliseconds connectTimeout_ { 300 };
    bool needsNewConnection_ = false;
};

/** How an exchange handleEnd. */
struct OutboundResult {
    enum class Outcome {
        Answered, ///< The whole response has come.
        NotSent, ///< No byte of the request left this process.
        Lost, ///< The request may have arrived; its response did not come, or not whole.
    };
    Outcome outcome_ = Outcome::Lost;
    bool wasReused_ = false; ///< The connection had carried other requests before.
    bool hadHead_ = false; ///< The response had begun.
    const char* reason_ = "";
};

/** What the owner of an exchange is told. */
struct OutboundCallbacks {
    /** Whether a response belongs to this request; others are read past. Optional. */
    std::function<bool(const HttpHead&)> matchesRequest_;
    std::function<void(const HttpHead&)> onHead_;
    std::function<void(std::string)> onBody_;
    std::function<void(const OutboundResult&)> onEnd_; ///< Once, unless the exchange is cancelled.
};

/** An exchange under way. */
class OutboundCall {
public:
    virtual ~OutboundCall() = default;
    /** Closes the connection, which makes the peer discard its work; no callback follows. */
    virtual void cancel() = 0;
    /** Stops or resumes reading the response, for back pressure. */
    virtual void pauseReading(bool isPaused) = 0;
};

/** How long connections are kept. */
struct OutboundLimits {
    std::size_t maxIdlePerPeer_ = 32;
    Milliseconds idleTimeout_ { 4000 }; ///< Peers that announce no time for idle connections.
    Milliseconds idleTimeoutMargin_ {
        1000
    }; ///< Kept out of an announced time, so that our use does not cross its end.
    HttpLimits message_ { 64 * 1024, 64 * 1024 * 1024 };
};

/** Connections to peers. Belongs to the thread of the event loop. */
class OutboundPool {
public:
    explicit OutboundPool(asio::io_context& io, const OutboundLimits& limits = {});
    ~OutboundPool();

    std::shared_ptr<OutboundCall> send(OutboundRequest request, OutboundCallbacks callbacks);
    /** Ends connects that take too long and closes idle connections; to be called at a steady pace. */
    void tick(MonotonicTime now);
    /** Closes all idle connections: after the VM stood still they may be dead without a sign. */
    void closeIdle();
    /** Connections made since the start. */
    std::uint64_t connectionsMade() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
