#pragma once

/** \file
 * SharedTargets: what a call costs at a target that many VMs use without talking to each other.
 *
 * A VM sees little of such a target: its own calls, and a report with each answer that is soon out of date.
 * Calls last shorter than the reports are apart, so an old report tells less about a target than the mean of
 * all of them: what others run there decays towards that mean.
 *
 * A turn's prompt holds all earlier turns of its program, and the target of the last turn has them cached.
 * Elsewhere they are computed again, and the whole batch stands still meanwhile. So the prompt counts once
 * for the call itself and once for each call that it holds up. Where the last target is not known, a program
 * prefers one by hash, the same one on every VM of a zone.
 *
 *     cost = wait for a place + the call, slowed by neighbours in the batch + its uncached prompt
 */

#include "Types.h"

#include <string>

namespace fescue {

/** Calls of other VMs at a target, as its last report showed them. */
struct OtherVmLoad {
    double calls_ = 0;
    MonotonicTime reportedAt_; ///< The epoch when there was no report yet.
};

/** Parameters of the cost. */
struct SharedOptions {
    bool isEnabled_ = false; ///< Whether targets are shared by VMs that do not talk.
    std::uint32_t defaultSlots_ = 8; ///< Of a target that does not say how many calls it runs at once.
    double batchSlowdown_
        = 0.03; ///< Part of a call's time that each neighbour adds; batched engines: 2 to 4 %.
    double prefillMs_ = 0.006; ///< For a prompt token; engines of this class read some 170 in a millisecond.
    double otherZoneMs_ = 8; ///< Delay and price of the way to another zone.
    /** Part of a call's time by which another target must be cheaper still: a program that has moved leaves
     * its prompt there for its later turns and sub-agents, which then have to move as well. */
    double migrationShare_ = 0.5;
    double maxWaitingAtTarget_ = 2; ///< Calls beyond its slots that may wait there, so that none stays empty.
};

/** Calls of others that are there now, in the mean. Pure. `mean` is that over all targets of the service. */
double estimateOtherVmCalls(const OtherVmLoad& others, double mean, double callMs, MonotonicTime now);

/** A target as the cost sees it. */
struct SharedTarget {
    double calls_ = 0; ///< Of all VMs, as far as known.
    std::uint32_t slots_ = 0;
    double callMs_ = 0; ///< A whole call at a target of this service, in the mean.
    double slowdown_ = 1; ///< Time per token, relative to the mean of the service's targets.
    bool holdsPrompt_
        = false; ///< The call's own prompt is cached there, or would be: all but its newest part.
    bool isOtherZone_ = false;
};

/** Whether one more call would wait there longer than is useful. Pure. */
bool isSaturated(const SharedTarget& target, const SharedOptions& options);

/** Score by which a program whose last target is not known prefers targets; the highest wins. Pure. */
std::uint64_t preferenceOf(const std::string& program, const TargetId& target);

/** Cost of one more call with so many prompt tokens of its own. Pure. */
double sharedCostMs(const SharedTarget& target, TokenCount ownPrompt, const SharedOptions& options);

} // namespace fescue
