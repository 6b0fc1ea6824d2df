#pragma once

/** \file
 * FrontServer: callers' connections of an entry VM.
 *
 * Reads whole requests, one after another on a connection, and hands each to the handler with a `FrontReply`.
 * A caller that closes its connection is reported at once, so that work for it can be cancelled.
 */

#include "HttpWire.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fescue {

/** What callers may send and how long they may take. */
struct FrontLimits {
    HttpLimits message_;
    Milliseconds headTimeout_ { 10000 }; ///< From a request's first byte to its whole head.
    Milliseconds idleTimeout_ { 60000 }; ///< Between two requests, and between two parts of a body.
};

/** The side of one request for its answer. Belongs to the thread of the event loop. */
class FrontReply {
public:
    virtual ~FrontReply() = default;
    /** Sends the whole answer; the head gets its length. */
    virtual void answer(HttpHead head, std::string_view body) = 0;
    /** Starts an answer that comes in parts. */
    virtual void begin(HttpHead head) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    /** Breaks the connection so that the caller sees that the answer is not whole. */
    virtual void abort() = 0;
    /** Bytes that the caller has not read yet. */
    virtual std::size_t pendingBytes() const = 0;
    /** Called once when the caller closes its connection before the answer is whole. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/** A request that has been read completely. */
struct FrontRequest {
    HttpHead head_;
    std::string body_;
    MonotonicTime arrived_; ///< When its head was whole.
};

using FrontHandler = std::function<void(FrontRequest, std::shared_ptr<FrontReply>)>;
/** Told of each request that is refused before it reaches the handler: status and reason. */
using FrontRejectionHandler = std::function<void(int status, const char* reason, const HttpHead* head)>;

/** Accepts callers. Belongs to the thread of the event loop. */
class FrontServer {
public:
    /** Binds `address` (`ip:port`) and starts. Throws `std::system_error` when it cannot be bound. */
    FrontServer(asio::io_context& io, const std::string& address, FrontHandler handler,
        FrontRejectionHandler refused);
    ~FrontServer();

    void setLimits(const FrontLimits& limits);
    /** Ends connections that took too long; to be called at a steady pace. */
    void tick(MonotonicTime now);
    /** From now on each answer is the last one of its connection. */
    void drain();
    /** Closes the connections on which no request is under way. */
    void closeIdleConnections();
    std::size_t connections() const;
    std::uint16_t port() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
