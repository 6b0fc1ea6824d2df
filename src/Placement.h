#pragma once

/** \file
 * Placement: which target runs a call.
 *
 * The cost of a target is the expected time until the answer is whole: the prompts queued there, the part of
 * this prompt that it does not hold in cache, and the answer at its pace. Other zones cost extra, since their
 * load is not reported here. A call may also wait for a full target that holds its prefix, for as long as
 * that is cheaper than computing the prefix elsewhere; else an overload makes itself worse.
 */

#include "QueuedCall.h"

#include <vector>

namespace fescue {

/** A target that may run the call, with its cost. */
struct Candidate {
    TargetId target_;
    double costMs_ = 0;
    bool isFull_ = false; ///< Its window is used up; the cost includes the wait for a place.
};

/** Parameters of the choice. */
struct PlacementOptions {
    double otherZoneMs_ = 1500; ///< Added for a target of another zone.
    double otherZoneLoad_ = 0.5; ///< Load that is assumed there, as a share of the own zone's.
    double migrationMargin_ = 1; ///< Share of its cost by which a target without the prefix must be cheaper.
    bool waitsForPrefix_ = true; ///< Whether a call may wait for a cheaper target that is full.
};

/** What becomes of a call. */
struct Choice {
    enum class Kind { Run, WaitForTarget, NoRoom };
    Kind kind_ = Kind::NoRoom;
    TargetId target_;
};

/** Chooses among the candidates. Pure. */
Choice chooseTarget(const std::vector<Candidate>& candidates, const PlacementOptions& options);

} // namespace fescue
