#pragma once

/** \file
 * FrontServer: the HTTP server of an entry VM, single-threaded on the VM's event loop.
 *
 * Reads the requests of a connection one after another and passes each complete request to the handler with a
 * `FrontReply`. When a caller disconnects, the handler is notified immediately, so that it can cancel its
 * work.
 */

#include "HttpWire.h"
#include "MemoryBudget.h"
#include "TcpLink.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescue {

/** Size limits and timeouts for callers' requests. */
struct FrontLimits {
    HttpLimits message_;
    Milliseconds headTimeout_ { 10000 }; ///< From a request's first byte until its head is complete.
    Milliseconds idleTimeout_ { 60000 }; ///< Between two requests, and between two reads of a body.
    MemoryBudget memory_; ///< What all callers together may make the server hold.
    std::size_t maxConnections_ = 0; ///< Open at a time; 0 is without a limit.
    /** Whether a connection gives way to a new one although a request has come on it or its answers are not
     * read, since its requests may be sent again at any time. */
    bool displacesBusy_ = false;
};

/** Limits for other VMs on a VM with so much memory. */
FrontLimits peerLimits(std::int64_t memoryMb);

/** Limits for those who ask for readiness or metrics. */
FrontLimits monitoringLimits();

/** Bytes of an answer that may wait for a caller who does not read, while there is room for them. */
constexpr std::size_t maxUnreadAnswerBytes = 256 * 1024;

/** Sends the response to one request. Must be used on the thread of the event loop. */
class FrontReply {
public:
    virtual ~FrontReply() = default;
    /** Sends a whole response; adds the Content-Length header. */
    virtual void answer(HttpHead head, std::string_view body) = 0;
    /** Starts a chunked response. */
    virtual void begin(HttpHead head) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    /** Resets the connection, so that the caller recognizes the response as incomplete. */
    virtual void abort() = 0;
    /** Bytes queued for the caller and not yet written to the socket. */
    virtual std::size_t pendingBytes() const = 0;
    /** Beyond so many pending bytes no more should be written for now. */
    virtual std::size_t maxPendingBytes() const { return maxUnreadAnswerBytes; }
    /** Counts bytes that the VM holds for the request beside what its caller has sent, until its answer is
     * complete. Returns false, and counts nothing, if there is no room for them. */
    virtual bool reserve(std::size_t) { return true; }
    /** Counts bytes that were reserved no longer. */
    virtual void release(std::size_t) { }
    /** The same for an answer that is buffered until it is complete. */
    virtual bool reserveForAnswer(std::size_t) { return true; }
    virtual void releaseAnswer(std::size_t) { }
    /** Sets the callback that is invoked once if the caller disconnects before the response is complete. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/** Returns whether the caller has disconnected, kept up to date while the reply exists. Takes the place of
 * the reply's callback. Must be used on the thread of the event loop. */
std::shared_ptr<const bool> watchDisconnect(FrontReply& reply);

/** A complete request. */
struct FrontRequest {
    HttpHead head_;
    std::string body_;
    MonotonicTime arrived_; ///< When its head was complete.
};

using FrontHandler = std::function<void(FrontRequest, std::shared_ptr<FrontReply>)>;
/** Called for each request that is rejected before it reaches the handler. `head` is null when it could not
 * be parsed. */
using FrontRejectionHandler = std::function<void(int status, const char* reason, const HttpHead* head)>;

/** What callers' want of room has led to. */
enum class FrontEvent {
    WaitsForRoom, ///< A request is not read on until others have ended.
    RefusedForRoom, ///< It has waited for too long.
    Stalled, ///< An unfinished request was refused, since others wait.
    ShedForMemory, ///< A connection was closed or refused, since all hold too much.
    DisplacedByConnection, ///< The same, for a new connection.
};

/** An address that could not be bound yet. */
struct ListenWait {
    std::string address_;
    std::string reason_; ///< Of the last try.
    MonotonicTime since_;
};

/** Accepts connections of callers. Must be used on the thread of the event loop. */
class FrontServer {
public:
    /** Binds `address` (`ip:port`) and starts to serve. When it cannot be bound for a reason that may pass,
     * such as another process that listens there, `tick` tries again. Throws `std::system_error`
     * for any other reason. */
    FrontServer(asio::io_context& io, const std::string& address, FrontHandler handler,
        FrontRejectionHandler onRejected);
    ~FrontServer();

    void setLimits(const FrontLimits& limits);
    /** Sets the handler of events, which gets the bytes that the connection held. */
    void onEvent(std::function<void(FrontEvent, std::size_t)> handler);
    /** Closes connections that have timed out, and binds the address if that has failed. Must be called
     * periodically. */
    void tick(MonotonicTime now);
    /** Why its address is not bound yet; nothing once it is. */
    const std::optional<ListenWait>& listenWait() const;
    /** Leaves an address that is not bound yet to the next process. */
    void leaveAddress();
    /** The same, and from now on each connection is closed after its next response. */
    void drain();
    /** Whether a request was read, at least in part, and has no complete response. */
    bool hasOpenRequests() const;
    /** Closes all connections. An open request is refused with 503, and its connection reset if a response
     * has begun. Precondition: the handler has answered all requests that may have run. */
    void shutDown();
    /** Whether callers have not read responses to the end, so that bytes of these would be lost with the
     * process. */
    bool hasUnsentBytes() const;
    std::size_t connections() const;
    /** What callers make the server hold now. */
    HeldMemory heldMemory() const;
    /** What the kernel holds for its connections; reads each socket. */
    SocketBytes socketBytes() const;
    /** Precondition: it listens. */
    std::uint16_t port() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
