#pragma once

/** \file
 * ProgramLifecycle: creates and ends programs, and handles timeouts.
 */

#include "Shard.h"

namespace fescue {

/** A request to create a program. */
struct CreateProgram {
    RequestId request_;
    ProgramId program_;
    WorkspaceId workspace_;
    ProgramId parent_; ///< Empty, or a program of the same shard.
    TokenCount budget_;
};

/** A request to end a program. */
struct EndProgram {
    RequestId request_;
    WorkspaceId workspace_;
    ProgramId program_;
    std::string reason_;
};

/** Creates a program. The answer is sent once the creation is confirmed; while the log is down it is sent
 * immediately and says that the program is not durable.
 *
 * Precondition: `create.program_` belongs to this shard. Thread safety: none; the caller holds the lock of
 * the shard. A child's budget is taken from its parent's remaining tranche. Errors: `BudgetExceeded` if that
 * is too small, `UnknownProgram` if the parent is not the caller's. */
Effects createProgram(Shard& shard, const CreateProgram& create, const ShardContext& context);

/** Ends a program: cancels its running call and records the end. Idempotent. The answer is sent once the end
 * is confirmed; while the log is down it is sent immediately and says that the end is not durable. If another
 * VM takes over the shard before, the request moves there.
 *
 * Thread safety: none; the caller holds the lock of the shard. Errors: `CallOutOfOrder` while an at-most-once
 * call is in flight, `UnknownProgram`. */
Effects endProgram(Shard& shard, const EndProgram& end, const ShardContext& context);

/** Returns what this epoch was granted and has not spent, so that the next owner can grant it.
 *
 * Used for a planned move of the shard. Running calls keep their reservations. It may be called repeatedly;
 * calls that arrive in between request a new tranche. Thread safety: none; the caller holds the lock of the
 * shard. */
void returnUnspentTranches(Shard& shard);

/** Answers calls, creations and ends that have waited too long for the log, ends and evicts idle programs,
 * and writes snapshots that are due. Thread safety: none; the caller holds the lock of the shard. */
Effects tickShard(Shard& shard, const ShardContext& context);

} // namespace fescue
