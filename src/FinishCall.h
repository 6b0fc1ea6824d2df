#pragma once

/** \file
 * FinishCall: what becomes of a call once its target has answered, failed or gone silent.
 *
 * A whole answer ends the call and is recorded. A call that certainly did not run gives its number back.
 * An at-most-once call that may have run is recorded as `outcome-unknown` for good.
 */

#include "Shard.h"

namespace fescue {

/** Takes the result of an `ExecuteCall`.
 *
 * Thread safety: none; the caller holds the lock of the shard. A result for a call that is not running is
 * ignored. After another VM's claim the callers still get the answer, but nothing is recorded. */
Effects finishCall(Shard& shard, const ProgramId& program, ExecutionId execution,
    const ExecutionResult& result, const ShardContext& context);

/** Reserves a further attempt of a running model call whose earlier ones may have used their reservation.
 *
 * Returns false when this epoch may not spend that much, or the call is not running here; it then has to end
 * as failed. Thread safety: none; the caller holds the lock of the shard. */
bool reserveAnotherAttempt(Shard& shard, const ProgramId& program, ExecutionId execution);

} // namespace fescue
