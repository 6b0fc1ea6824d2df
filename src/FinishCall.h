#pragma once

/** \file
 * FinishCall: handles the result of a call after its target has answered, failed or timed out.
 *
 * A complete answer ends the call and is recorded. The number of a call that certainly did not run can be
 * used again. An at-most-once call that may have run is permanently recorded as `outcome-unknown`.
 */

#include "Shard.h"

namespace fescue {

/** Handles the result of an `ExecuteCall`.
 *
 * Thread safety: none; the caller holds the lock of the shard. A result for a call that is not running is
 * ignored. After another VM has claimed the shard, the callers still get the answer, but nothing is recorded.
 */
Effects finishCall(Shard& shard, const ProgramId& program, ExecutionId execution,
    const ExecutionResult& result, const ShardContext& context);

/** Reserves tokens for another attempt of a running model call; earlier attempts may have used theirs.
 *
 * Returns false if the epoch's tranche does not cover it or the call is not running here; the call must then
 * fail. Thread safety: none; the caller holds the lock of the shard. */
bool reserveAnotherAttempt(Shard& shard, const ProgramId& program, ExecutionId execution);

} // namespace fescue
