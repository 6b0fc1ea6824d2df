#pragma once

/** \file
 * SharedTargets: the cost of a call at a target that is shared by VMs that do not coordinate.
 *
 * A VM knows of such a target only its own calls and the load report in each answer, which is soon stale.
 * Calls are shorter than the time between reports, so an old report predicts a target's load worse than the
 * mean of all targets: the estimate of other VMs' calls decays towards that mean.
 *
 * A turn's prompt contains all earlier turns of its program, which the target of the last turn has cached. On
 * any other target they are computed again, and the whole batch stalls meanwhile. So the cost counts the
 * prompt once for the call itself and once for each call that it stalls. If the last target is unknown, a
 * program prefers one by rendezvous hashing, the same one on every VM of a zone.
 *
 * Calls of services that name an object run faster at a target that has recently handled it. All VMs prefer
 * the same target for an object, unless it is so busy that the call runs sooner elsewhere.
 *
 *     cost = wait for a slot + the call, slowed down by others in its batch + prefill of its uncached prompt
 */

#include "Types.h"

#include <string>

namespace fescue {

/** Calls of other VMs at a target, from its last report. */
struct OtherVmLoad {
    double calls_ = 0;
    MonotonicTime reportedAt_; ///< The clock's epoch before the first report.
};

/** Parameters of the cost. */
struct SharedOptions {
    bool isEnabled_ = false; ///< Whether targets are shared by VMs that do not coordinate.
    std::uint32_t defaultSlots_ = 8; ///< For a target that does not announce its slots.
    /** Fraction by which each other call in the batch slows a call; batched engines: 2 to 4 %. */
    double batchSlowdown_ = 0.03;
    double prefillMs_ = 0.006; ///< Per prompt token; engines of this class compute about 170 per millisecond.
    double otherZoneMs_ = 8; ///< Latency and traffic cost of a call to another zone.
    /** Fraction of a call's time that is added for a target without the prompt: once a program has moved, its
     * prompt is cached there, so its later turns and sub-agents have to move as well. */
    double migrationShare_ = 0.5;
    /** How long a call may wait for a permit of the target that suits it best while others have room. */
    Milliseconds maxPermitWait_ { 150 };
    /** Calls beyond the slots that may queue at a target, so that no slot stays idle. */
    double maxWaitingAtTarget_ = 2;
};

/** Estimates the calls of other VMs at a target now. `mean` is their mean over all targets of the service.
 * Pure. */
double estimateOtherVmCalls(const OtherVmLoad& others, double mean, double callMs, MonotonicTime now);

/** Inputs of the cost of a target. */
struct SharedTarget {
    double calls_ = 0; ///< Estimated calls of all VMs.
    double slots_ = 0;
    double callMs_ = 0; ///< Mean duration of a call at the service's targets.
    double slowdown_ = 1; ///< Time per token relative to the mean of the service's targets.
    /** The prompt, except its newest part, or the object of the call, is cached there or expected to be. */
    bool hasPromptCached_ = false;
    bool isOtherZone_ = false;
};

/** Whether the target's slots and its queue are full. Pure. */
bool isSaturated(const SharedTarget& target, const SharedOptions& options);

/** Weighted rendezvous hash of a program whose last target is unknown; it prefers the target with the
 * highest. Pure. Precondition: `weight` is positive. */
double rendezvousScore(const std::string& program, const TargetId& target, double weight);

/** Cost of one more call with `ownPrompt` prompt tokens that only its program uses. Pure. */
double sharedCostMs(const SharedTarget& target, TokenCount ownPrompt, const SharedOptions& options);

} // namespace fescue
