#pragma once

/** \file
 * LeavingTargets: targets that have said in an answer that they leave.
 *
 * Such an answer arrives also while the store is away or still lists the target as ready, so it outweighs the
 * list.
 */

#include "TargetBeliefs.h"

namespace fescue {

/** What answers have said. */
struct LeavingTargets {
    BeliefMap<TargetBelief> beliefs_;
};

/** Records that a start of a target leaves. Returns whether this is new. Not thread-safe. */
bool recordLeaving(
    LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt, MonotonicTime now);

/** Whether this start of a target has said that it leaves. Pure. */
bool hasSaidItLeaves(const LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt);

} // namespace fescue
