#pragma once

/** \file
 * CallForwarder: takes a request that may run to a target and its answer back to the caller.
 *
 * `TargetPool` decides where and when it runs. What may be sent retry is decided here: a request that has
 * certainly not run goes to another target at once, one that may have run only when its route allows it and
 * nothing of an answer has been passed on. Every request gets its final answer as soon as it is known.
 */

#include "CallTags.h"
#include "FrontServer.h"
#include "OutboundPool.h"
#include "ServingConfig.h"
#include "TargetList.h"
#include "TargetPool.h"

#include <functional>
#include <memory>

namespace fescue {

/** A request that has passed admission. */
struct ForwardedCall {
    FrontRequest request_;
    std::shared_ptr<FrontReply> reply_;
    CallTags tags_;
    Route route_;
    ServiceTraits service_;
    MonotonicTime deadline_; ///< The final answer is given by then.
    TargetId cachingTarget_; ///< Target that ran the program's last turn, if known.
    /** Tokens that were passed on, and the target it was sent to last, if any. Called once. */
    std::function<void(TokenCount generated, const TargetId&)> onEnd_;
};

/** Requests under way. Belongs to the thread of the event loop. */
class CallForwarder {
public:
    CallForwarder(asio::io_context& io, const ZoneId& zone, std::uint64_t seed);
    ~CallForwarder();

    void setTargets(const TargetList& list, const ServingConfig& config);
    void forward(ForwardedCall call);
    /** Ends what is overdue and sends what can be sent; to be called at a steady pace. */
    void tick(MonotonicTime now);
    /** Takes all kept connections as dead: after the VM stood still. */
    void closeIdleConnections();
    /** Share of the slots of a service's engines that are taken, as far as known; above 1 calls wait there.
     */
    double occupancy(const ServiceId& service) const;
    std::size_t openCallCount() const;
    std::size_t queuedCallCount() const;
    std::uint64_t connectionsMade() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/** Answers a request that has not run and will not: 503 with the time after which to come back. */
void refuseCall(FrontReply& reply, const AttemptId& attempt, int status, const std::string& reason,
    std::optional<Milliseconds> retryAfter);

} // namespace fescue
