#pragma once

/** \file
 * QueueWait: estimates how long calls wait in the queue of a pool.
 *
 * Slots become free as calls end, and targets that have named a rate take calls no faster than that.
 */

#include "TargetPool.h"

namespace fescue {

/** Expected wait of a call that arrives now, behind the calls with a lower rank. Pure, like all functions
 * here; the caller holds the pool's lock. */
Milliseconds expectedWait(const TargetPool& pool, const QueuedCall& call, MonotonicTime now);

/** Expected wait of a call behind all queued calls. */
Milliseconds expectedWaitAtEnd(const TargetPool& pool, const QueuedCall& call, MonotonicTime now);

/** The queued calls that targets with a named rate will not take before their deadline. */
std::vector<DispatchId> hopelessCalls(const TargetPool& pool, MonotonicTime now);

} // namespace fescue
