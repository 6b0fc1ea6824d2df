#pragma once

/** \file
 * ProgramLifecycle: creating and ending programs, and giving up on what waited too long.
 */

#include "Shard.h"

namespace fescue {

/** A caller's wish for a new program. */
struct CreateProgram {
    RequestId request_;
    ProgramId program_;
    WorkspaceId workspace_;
    ProgramId parent_; ///< Empty for a program of its own; else a program of the same shard.
    TokenCount budget_;
};

/** A caller's wish to end a program. */
struct EndProgram {
    RequestId request_;
    WorkspaceId workspace_;
    ProgramId program_;
    std::string reason_;
};

/** Creates a program; answered once the log has it, or at once and as not durable while the log is down.
 *
 * Precondition: `create.program_` belongs to this shard. Thread safety: none; the caller holds the lock of
 * the shard. A child's budget is taken from what its parent's epoch may spend. Errors: `BudgetExceeded`
 * when the parent has not that much left, `UnknownProgram` when it is not the caller's. */
Effects createProgram(Shard& shard, const CreateProgram& create, const ShardContext& context);

/** Ends a program: cancels its running call and records the end. Ending it again is not an error.
 *
 * Thread safety: none; the caller holds the lock of the shard. Errors: `CallOutOfOrder` while an
 * at-most-once call is on its way, `UnknownProgram`. */
Effects endProgram(Shard& shard, const EndProgram& end, const ShardContext& context);

/** Gives back what this epoch was granted and has not spent, so that the next owner can grant it again.
 *
 * For a planned move of the shard. Running calls keep what they reserved. It may be called again, and calls
 * that come in between ask for a new tranche. Thread safety: none; the caller holds the lock of the shard. */
void returnUnspentTranches(Shard& shard);

/** Gives final answers to calls and creations that waited too long for the log, and ends programs that
 * nobody has used for the idle time. Thread safety: none; the caller holds the lock of the shard. */
Effects tickShard(Shard& shard, const ShardContext& context);

} // namespace fescue
