#pragma once

/** \file
 * LastTargets: the targets that cache the prompts of programs, as far as this VM granted their last turns.
 */

#include "Types.h"

#include <iterator>
#include <map>

namespace fescue {

/** Turns of a program follow each other faster than this; an older prompt may have been evicted. */
constexpr Milliseconds lastTargetRetention { 10000 };

/** Where a program's last turn ran. */
struct LastTarget {
    TargetId target_;
    MonotonicTime at_;
};

using LastTargets = std::map<ProgramId, LastTarget>;

/** Records where a turn ran; `target` is empty if it was not sent to any. */
inline void recordLastTarget(
    LastTargets& targets, const ProgramId& program, const TargetId& target, MonotonicTime now)
{
    if (!target.empty())
        targets[program] = { target, now };
}

/** Forgets targets that hold nothing any more. */
inline void evictLastTargets(LastTargets& targets, MonotonicTime now)
{
    for (auto last = targets.begin(); last != targets.end();)
        last = now > last->second.at_ + lastTargetRetention ? targets.erase(last) : std::next(last);
}

} // namespace fescue
