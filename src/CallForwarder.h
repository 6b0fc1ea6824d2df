#pragma once

/** \file
 * CallForwarder: forwards admitted requests to targets and streams the answers back to the callers.
 *
 * `TargetPool` decides when and where a request runs; the forwarder decides what may be retried. A request
 * that certainly has not run is retried on another target at once. A request that may have run is retried
 * only if its route is repeatable and no part of an answer has been forwarded yet. The caller receives the
 * final answer as soon as it is known.
 */

#include "ForwardedCall.h"
#include "OutboundPool.h"
#include "PeerExchange.h"
#include "TargetList.h"
#include "TargetPool.h"

#include <memory>

namespace fescue::platform {
class StoreClient;
struct KeyedRecord;
}

namespace fescue {

/** Forwards requests. Confined to the thread of the event loop. */
class CallForwarder {
public:
    /** Precondition: `store` and `exchange` outlive the forwarder, and `exchange` serves no call after it. */
    CallForwarder(asio::io_context& io, platform::StoreClient& store, PeerExchange& exchange,
        const ZoneId& zone, const WriterId& writer, std::uint64_t seed);
    ~CallForwarder();

    void setTargets(const TargetList& list, const ServingConfig& config);
    void forward(ForwardedCall call);
    /** Applies other VMs' records of requests that crash targets; see `StoreFollower::Callbacks`. */
    void applyCrashRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete);
    /** Fails requests past their deadline and dispatches queued ones. To be called periodically. */
    void tick(const TargetList& list, MonotonicTime now);
    /** Answers all requests by `time`, and refuses those whose deadline is later. */
    void endBy(MonotonicTime time);
    /** Closes all idle connections: after a pause of the VM their peers may have closed them. */
    void closeIdleConnections();
    /** Calls at a service's engines divided by their slots, as far as known; above 1, calls wait for a slot.
     */
    double occupancy(const ServiceId& service) const;
    /** The same for the targets of a plain service. */
    double toolOccupancy(const ServiceId& service) const;
    /** Whether this VM cannot open connections to targets. */
    bool isStranded() const;
    /** Sets the handler of calls that other VMs relay through this one; it gets a call with its reply, and of
     * its service only the id. */
    void serveRelayed(std::function<void(ForwardedCall)> handler);
    /** Requests that are queued or in flight. */
    std::size_t openCallCount() const;
    std::size_t queuedCallCount() const;
    /** Programs whose service or cached prefixes are known. */
    std::size_t knownProgramCount() const;
    std::uint64_t connectionsMade() const;
    /** What the kernel holds for connections to targets; reads each socket. */
    SocketBytes socketBytes() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
