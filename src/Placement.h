#pragma once

/** \file
 * Placement: chooses the target that runs a call.
 *
 * The cost of a target is the expected time until the answer is complete: the prompts queued there, the part
 * of this prompt that is not in its cache, and generation at its speed. Other zones cost extra, since their
 * load is not reported to this VM. A call may also wait for a full target that has its prefix cached, as long
 * as that is cheaper than computing the prefix elsewhere; otherwise an overload would add prefill work and so
 * get worse.
 */

#include "QueuedCall.h"

#include <vector>

namespace fescue {

/** A target that may run the call, and its cost. */
struct Candidate {
    TargetId target_;
    double costMs_ = 0;
    bool isFull_ = false; ///< Its window is full; the cost includes the wait for a slot.
};

/** Parameters of the cost. */
struct PlacementOptions {
    double otherZoneMs_ = 1500; ///< Added for a target of another zone.
    double otherZoneLoad_ = 0.5; ///< Assumed load of other zones, relative to the own zone's.
    double migrationMargin_ = 1; ///< Fraction by which the cost of a target without the prefix is raised.
    bool waitsForPrefix_ = true; ///< Whether a call may wait for a full target that is cheaper.
};

/** Decision for a call. */
struct Choice {
    enum class Kind { Run, WaitForTarget, NoRoom };
    Kind kind_ = Kind::NoRoom;
    TargetId target_;
};

/** Chooses the target of a call. Pure. */
Choice chooseTarget(const std::vector<Candidate>& candidates, const PlacementOptions& options);

} // namespace fescue
