#pragma once

/** \file
 * TargetBeliefs: what targets have said about themselves in their answers.
 *
 * A belief belongs to one start of a target: another target at its address, or another start of it, is free
 * of it. An entry in the store may lapse and come back, so a belief outlives the entry for a while.
 *
 * An answer does not name the start of its target, and the list may still name an earlier one. So a start
 * that is listed soon after a statement may be the one that made it: the belief holds for it until its
 * reports show that it works on.
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
    /** If it may have been made by an earlier start: the number of the report by which the present one was
     * first seen. */
    std::optional<std::uint64_t> assumedSinceReport_ {};
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

/** What becomes of a belief. */
enum class BeliefFate {
    Holds,
    StartedAgain,
    WorksOn, ///< The start that it was assumed of goes on reporting that it is ready.
    LeftTheList,
};

/** Decides what becomes of a belief; `listed` is the entry of its target, null if there is none. Updates the
 * belief. */
BeliefFate judgeBelief(
    TargetBelief& belief, const TargetEntry* listed, const TargetList& list, MonotonicTime now);

/** Name for logs. Pure. */
const char* nameOf(BeliefFate fate);

/** Ends the beliefs about targets that have started again, or that left the list long ago. Not thread-safe.
 */
template <typename Belief>
std::vector<EndedBelief> endBeliefs(BeliefMap<Belief>& beliefs, const TargetList& list, MonotonicTime now)
{
    std::vector<EndedBelief> ended;
    for (auto entry = beliefs.begin(); entry != beliefs.end();) {
        auto& [target, belief] = *entry;
        auto listed = list.entries_.find(target);
        BeliefFate fate
            = judgeBelief(belief, listed == list.entries_.end() ? nullptr : &listed->second, list, now);
        if (fate == BeliefFate::Holds) {
            ++entry;
            continue;
        }
        ended.push_back({ target, belief, nameOf(fate) });
        entry = beliefs.erase(entry);
    }
    return ended;
}

} // namespace fescue
