#pragma once

/** \file
 * TargetBeliefs: what targets have said about themselves in their answers.
 *
 * A belief belongs to one start of a target: another target at its address, or another start of it, is free
 * of it. An entry in the store may lapse and come back, so a belief outlives the entry for a while.
 */

#include "TargetList.h"

#include <algorithm>
#include <map>
#include <vector>

namespace fescue {

/** Common part of all beliefs about one start of a target. */
struct TargetBelief {
    Milliseconds startedAt_ { 0 }; ///< Start of the target's process, from its entry.
    MonotonicTime since_;
    MonotonicTime lastListedAt_;
};

/** Beliefs of one kind, which derives from `TargetBelief`. */
template <typename Belief> using BeliefMap = std::map<TargetId, Belief>;

/** An ended belief. */
struct EndedBelief {
    TargetId target_;
    TargetBelief belief_;
    const char* reason_ = "";
};

/** Entries that lapsed with the store are back soon after it; an outage may last minutes. */
constexpr Milliseconds unlistedRetention { 600000 };
constexpr std::size_t maxBeliefs = 4096;

/** The belief about this start of a target; null if there is none. Pure. */
template <typename Belief>
const Belief* findBelief(const BeliefMap<Belief>& beliefs, const TargetId& target, Milliseconds startedAt)
{
    auto found = beliefs.find(target);
    return found != beliefs.end() && found->second.startedAt_ == startedAt ? &found->second : nullptr;
}

/** Records a belief in place of any other about the target. Evicts the one that was listed longest ago if
 * there are too many. Not thread-safe. */
template <typename Belief>
void putBelief(BeliefMap<Belief>& beliefs, const TargetId& target, const Belief& belief)
{
    if (beliefs.size() >= maxBeliefs && !beliefs.count(target))
        beliefs.erase(std::min_element(beliefs.begin(), beliefs.end(),
            [](const auto& a, const auto& b) { return a.second.lastListedAt_ < b.second.lastListedAt_; }));
    beliefs[target] = belief;
}

/** Ends the beliefs about targets that have started again, or that left the list long ago. Not thread-safe.
 */
template <typename Belief>
std::vector<EndedBelief> endBeliefs(BeliefMap<Belief>& beliefs, const TargetList& list, MonotonicTime now)
{
    std::vector<EndedBelief> ended;
    for (auto entry = beliefs.begin(); entry != beliefs.end();) {
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
        entry = beliefs.erase(entry);
    }
    return ended;
}

} // namespace fescue
