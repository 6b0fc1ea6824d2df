#include "TargetBeliefs.h"

namespace fescue {

namespace {

    // A target enters itself in the list at its start; the write may be delayed by seconds.
    constexpr Milliseconds startNoticeTime { 5000 };
    // A target that leaves reports so, or reports nothing any more.
    constexpr std::uint64_t reportsOfAWorkingTarget = 3;

    // Whether a target that is listed with a new start has started after `time`.
    bool hasStartedSince(const TargetList& list, MonotonicTime time, MonotonicTime now)
    {
        return time >= list.followedSince_ && now >= time + startNoticeTime;
    }

} // namespace

BeliefFate judgeBelief(
    TargetBelief& belief, const TargetEntry* listed, const TargetList& list, MonotonicTime now)
{
    if (!listed)
        return now > belief.lastListedAt_ + unlistedRetention ? BeliefFate::LeftTheList : BeliefFate::Holds;
    belief.lastListedAt_ = now;
    if (listed->startedAt_ != belief.startedAt_) {
        if (hasStartedSince(list, belief.since_, now))
            return BeliefFate::StartedAgain;
        belief.startedAt_ = listed->startedAt_;
        belief.assumedSinceReport_ = listed->heartbeat_;
        return BeliefFate::Holds;
    }
    bool worksOn = belief.assumedSinceReport_ && !listed->isLeaving_
        && listed->heartbeat_ >= *belief.assumedSinceReport_ + reportsOfAWorkingTarget;
    return worksOn ? BeliefFate::WorksOn : BeliefFate::Holds;
}

const char* nameOf(BeliefFate fate)
{
    switch (fate) {
    case BeliefFate::StartedAgain:
        return "started again";
    case BeliefFate::WorksOn:
        return "works on after it has started again";
    case BeliefFate::LeftTheList:
        return "left the list";
    case BeliefFate::Holds:
        break;
    }
    return "holds";
}

} // namespace fescue
