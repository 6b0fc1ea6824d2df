#include "LeavingTargets.h"

#include <algorithm>

namespace fescue {

namespace {

    // Entries that lapsed with the store are back soon after it; an outage may last minutes.
    constexpr Milliseconds unlistedRetention { 600000 };
    constexpr std::size_t maxBeliefs = 4096;

    void dropOldest(LeavingTargets& leaving)
    {
        leaving.beliefs_.erase(std::min_element(leaving.beliefs_.begin(), leaving.beliefs_.end(),
            [](const auto& a, const auto& b) { return a.second.lastListedAt_ < b.second.lastListedAt_; }));
    }

} // namespace

bool recordLeaving(LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt, MonotonicTime now)
{
    if (hasSaidItLeaves(leaving, target, startedAt))
        return false;
    if (leaving.beliefs_.size() >= maxBeliefs)
        dropOldest(leaving);
    leaving.beliefs_[target] = { startedAt, now, now };
    return true;
}

bool hasSaidItLeaves(const LeavingTargets& leaving, const TargetId& target, Milliseconds startedAt)
{
    auto found = leaving.beliefs_.find(target);
    return found != leaving.beliefs_.end() && found->second.startedAt_ == startedAt;
}

std::vector<EndedBelief> endBeliefs(LeavingTargets& leaving, const TargetList& list, MonotonicTime now)
{
    std::vector<EndedBelief> ended;
    for (auto entry = leaving.beliefs_.begin(); entry != leaving.beliefs_.end();) {
        auto& [target, belief] = *entry;
        auto listed = list.entries_.find(target);
        bool isListed = listed != list.entries_.end();
        bool hasStartedAgain = isListed && listed->second.startedAt_ != belief.startedAt_;
        if (isListed)
            belief.lastListedAt_ = now;
        if (!hasStartedAgain && now <= belief.lastListedAt_ + unlistedRetention) {
            ++entry;
            continue;
        }
        ended.push_back({ target, belief, hasStartedAgain ? "started again" : "left the list" });
        entry = leaving.beliefs_.erase(entry);
    }
    return ended;
}

} // namespace fescue
