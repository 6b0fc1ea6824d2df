#pragma once

/** \file
 * LeavingTargets: targets that have said in an answer that they leave.
 *
 * Such an answer arrives also while the store is away or still lists the target as ready, so it outweighs the
 * list. The belief belongs to one start of a target: another target at its address, or another start of it,
 * is free of it. An entry may lapse and come back, so the belief outlives the entry for a while.
 */

#include "TargetList.h"

#include <map>
#include <vector>

namespace fescue {

/** The belief that one start of a target leaves. */
struct LeavingBelief {
    Milliseconds startedAt_ { 0 }; ///< Start of the target's process, from its entry.
    MonotonicTime since_;
    MonotonicTime lastListedAt_;
};

/** What answers have said. */
struct LeavingTargets {
    std::map<TargetId, LeavingBelief> beliefs_;
};

/** An ended belief. */
struct EndedBelief {
    TargetId target_;
    LeavingBelief belief_;
    const char* reason_ = "";
};

/** Records that a start of a target leaves. Returns whether this is new. */
bool recordLeaving(
    LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt, MonotonicTime now);

/** Whether this start of a target has said that it leaves. Pure. */
bool hasSaidItLeaves(const LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt);

/** Ends the beliefs of targets that have started again, or that left the list long ago. */
std::vector<EndedBelief> endBeliefs(LeavingTargets& leaving, const TargetList& list, MonotonicTime now);

} // namespace fescue
