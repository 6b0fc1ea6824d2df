#pragma once

/** \file
 * CallForwarder: forwards admitted requests to targets and streams the answers back to the callers.
 *
 * `TargetPool` decides when and where a request runs; the forwarder decides what may be retried. A request
 * that certainly has not run is retried on another target at once. A request that may have run is retried
 * only if its route is repeatable and no part of an answer has been forwarded yet. The caller receives the
 * final answer as soon as it is known.
 */

#include "CallTags.h"
#include "FrontServer.h"
#include "OutboundPool.h"
#include "ServingConfig.h"
#include "TargetList.h"
#include "TargetPool.h"

#include <functional>
#include <memory>

namespace fescue::platform {
class StoreClient;
struct KeyedRecord;
}

namespace fescue {

/** An admitted request. */
struct ForwardedCall {
    FrontRequest request_;
    std::shared_ptr<FrontReply> reply_;
    CallTags tags_;
    Route route_;
    ServiceTraits service_;
    MonotonicTime deadline_; ///< The caller receives the final answer by then.
    /** The software version at which the stream may go on; nothing if the request begins it. */
    std::optional<SoftwareVersion> version_;
    /** Called before the first bytes of a stream are passed on, with the version that made them. Optional. */
    std::function<void(const SoftwareVersion&)> onBegin_;
    TargetId cachingTarget_; ///< Target that ran the program's last turn; empty if unknown.
    /** Called once, with the number of tokens that were forwarded and the last target that the request was
     * sent to, if any. */
    std::function<void(TokenCount generated, const TargetId&)> onEnd_;
};

/** Forwards requests. Confined to the thread of the event loop. */
class CallForwarder {
public:
    /** Precondition: `store` outlives the forwarder. */
    CallForwarder(asio::io_context& io, platform::StoreClient& store, const ZoneId& zone,
        const WriterId& writer, std::uint64_t seed);
    ~CallForwarder();

    void setTargets(const TargetList& list, const ServingConfig& config);
    void forward(ForwardedCall call);
    /** Applies other VMs' records of requests that crash targets; see `StoreFollower::Callbacks`. */
    void applyCrashRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete);
    /** Fails requests past their deadline and dispatches queued ones. To be called periodically. */
    void tick(const TargetList& list, MonotonicTime now);
    /** Closes all idle connections: after a pause of the VM their peers may have closed them. */
    void closeIdleConnections();
    /** Calls at a service's engines divided by their slots, as far as known; above 1, calls wait for a slot.
     */
    double occupancy(const ServiceId& service) const;
    /** Requests that are queued or in flight. */
    std::size_t openCallCount() const;
    std::size_t queuedCallCount() const;
    std::uint64_t connectionsMade() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
