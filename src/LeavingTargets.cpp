#include "LeavingTargets.h"

namespace fescue {

bool recordLeaving(LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt, MonotonicTime now)
{
    if (hasSaidItLeaves(leaving, target, startedAt)) {
        leaving.beliefs_[target].assumedSinceReport_.reset();
        return false;
    }
    putBelief(leaving.beliefs_, target, TargetBelief { startedAt, now, now });
    return true;
}

bool hasSaidItLeaves(const LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt)
{
    return findBelief(leaving.beliefs_, target, startedAt) != nullptr;
}

} // namespace fescue
