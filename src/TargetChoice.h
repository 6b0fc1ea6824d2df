#pragma once

/** \file
 * TargetChoice: which target of a pool a waiting call goes to, if any has room.
 *
 * Gathers what the pool knows of each target that may run the call, and lets `Placement`, or `SharedTargets`
 * for targets that many VMs use, weigh it.
 */

#include "TargetPool.h"

namespace fescue {

/** Whether a target runs calls of this kind. Pure, like all functions here; the caller holds the pool's lock.
 */
bool servesCall(const Target& target, const QueuedCall& call);

/** Whether a target takes new work now. */
bool acceptsNewCalls(const TargetPool& pool, const TargetState& state, MonotonicTime now);

/** Prompt tokens of a call that a target would have to compute. */
TokenCount uncachedAt(const TargetPool& pool, const QueuedCall& call, const TargetId& target);

/** The target for a call, or that it has to wait. */
Choice chooseTargetFor(const TargetPool& pool, const QueuedCall& call, MonotonicTime now);

} // namespace fescue
