#pragma once

/** \file
 * PoolPrograms: bounds what a target pool keeps about programs: their attained service and cached prefixes.
 *
 * A VM does not learn that a program has ended, since its next turn may go to any VM. So programs that have
 * been idle for long are dropped, and those idle the longest if there are too many. A dropped program that
 * comes back counts as a new one and is placed without regard to its cache.
 */

#include "TargetPool.h"

namespace fescue {

/** How many programs a pool knows, and for how long. */
struct ProgramBounds {
    Milliseconds idleTimeout_ { 300000 }; ///< Turns of a program follow each other faster.
    std::size_t maxPrograms_ = 8192; ///< About 0.4 KB each.
};

/** Whether so many programs are known that some are to be dropped before the next regular time. Pure. */
bool hasTooManyPrograms(const TargetPool& pool, const ProgramBounds& bounds);

/** Drops programs beyond the bounds. Not thread-safe. */
void evictPrograms(TargetPool& pool, const ProgramBounds& bounds, MonotonicTime now);

/** Programs with attained service or cached prefixes. Pure. */
std::size_t programCount(const TargetPool& pool);

} // namespace fescue
