#include "CallOrder.h"

#include <algorithm>
#include <numeric>

namespace fescue {

namespace {

    constexpr double maxEarned = 2;

} // namespace

bool isLate(const QueuedCall& call, MonotonicTime now)
{
    MonotonicTime endsAt = now + call.minDuration_;
    return (call.programDue_ && endsAt > *call.programDue_) || (call.deadline_ && endsAt > *call.deadline_);
}

CallClass classOf(const QueuedCall& call, MonotonicTime now)
{
    return { call.rank_, isLate(call, now), call.startsProgram_ };
}

CallClass nextClass(const WaitingCalls& waiting, const EarnedDispatches& earned)
{
    for (const auto& [callClass, dispatches] : earned) {
        if (dispatches >= 1 && waiting.count(callClass))
            return callClass;
    }
    return waiting.begin()->first;
}

void recordDispatch(EarnedDispatches& earned, const WaitingCalls& waiting, const CallClass& dispatched)
{
    auto calls = std::accumulate(waiting.begin(), waiting.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& entry) { return sum + entry.second; });
    for (const auto& [callClass, count] : waiting) {
        if (!(dispatched < callClass))
            continue;
        double& own = earned[callClass];
        // Bounded, so that a class that stops waiting for a while does not go first for long.
        own = std::min(
            maxEarned, own + minRelativeShare * static_cast<double>(count) / static_cast<double>(calls));
    }
    auto own = earned.find(dispatched);
    if (own != earned.end())
        own->second = std::max(0.0, own->second - 1);
}

} // namespace fescue
