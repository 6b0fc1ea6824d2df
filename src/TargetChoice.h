#pragma once

/** \file
 * TargetChoice: selects the target of a waiting call, if any has room.
 *
 * Collects what the pool knows about each target that may run the call and ranks the targets by the cost of
 * `Placement`, or of `SharedTargets` if the targets are shared by many VMs.
 */

#include "TargetPool.h"

#include <optional>
#include <set>
#include <tuple>

namespace fescue {

/** Whether a target serves the call's model or service. All functions here are pure; the caller holds the
 * pool's lock. */
bool servesCall(const Target& target, const QueuedCall& call);

/** Whether a target accepts new calls now: it is neither leaving nor in backoff. */
bool acceptsNewCalls(const TargetPool& pool, const TargetState& state, MonotonicTime now);

/** Whether any target that may run a call accepts new calls now. */
bool isAcceptedByAny(const TargetPool& pool, const QueuedCall& call, MonotonicTime now);

/** Number of prompt tokens that a target would have to compute. */
TokenCount uncachedAt(const TargetPool& pool, const QueuedCall& call, const TargetId& target);

/** The time that a call needs at least at a target, as far as known. */
Milliseconds minTimeToRun(const TargetPool& pool, const QueuedCall& call);

/** Chooses the target of a call, or decides that the call waits. */
Choice chooseTargetFor(const TargetPool& pool, const QueuedCall& call, MonotonicTime now);

/** Calls for which no target had room, so that others like them need no look at all targets. Valid at one
 * time, while nothing but dispatches changes the pool, and each choice to run is dispatched. */
struct CallsWithoutRoom {
    /** The last one: whether they may crash their targets. */
    using Kind = std::tuple<ServiceId, ModelId, std::optional<SoftwareVersion>, bool>;
    std::optional<std::set<TargetId>> targetsOfSuspects_; ///< Targets that run such a call, once needed.
    std::set<Kind> waiting_; ///< Those that may wait for a permit found none.
    std::set<Kind> others_; ///< Those that may not.
};

/** The same for one call of many. */
Choice chooseTargetFor(
    const TargetPool& pool, const QueuedCall& call, CallsWithoutRoom& withoutRoom, MonotonicTime now);

} // namespace fescue
