#pragma once

/** \file
 * AdmitCall: admission of a call at the owner of its program's shard.
 *
 * The checks, in order: the program is known and belongs to the caller; the call is not a retry; it is the
 * program's next call; it continues the program's history; its maximum token use fits the budget. A call that
 * passes may run; an at-most-once call runs only once the log has confirmed its intent.
 */

#include "Shard.h"

namespace fescue {

/** Admits a call, attaches it to the running call, answers it from a stored outcome, or refuses it.
 *
 * Precondition: `call.program_` belongs to this shard. Thread safety: none; the caller holds the lock of
 * the shard. A refusal is an immediate `ReplyProblem`. For an at-most-once call its `not-run` covers this
 * request only, and `mayHaveRunEarlier_` is set: only a confirmed intent proves that no other owner has
 * executed an earlier request. For a repeatable call `not-run` covers the attempts under this VM's epoch. */
Effects admitCall(Shard& shard, const Call& call, const ShardContext& context);

/** Answers a retry from the batch at `reply.offset_`, or refuses it when `batch` is none since the log no
 * longer has it. Pure. */
Effects answerFromLog(const ReplyFromLog& reply, const std::optional<Batch>& batch);

/** Whether a request refers to state that this owner has not seen: an unknown program, or a call beyond the
 * program's next one. Another VM may then have taken over the shard, so the owner reads the log before it
 * decides.
 *
 * Pure; the caller holds the lock of the shard. `number` is 0 if the request is not a call. */
bool isPossiblyStale(const Shard& shard, const ProgramId& program, CallNumber number);

/** Starts a waiting call if its tranche is confirmed, else requests the next tranche. Called by ShardLog. */
Effects startIfFunded(
    Shard& shard, const ProgramId& program, ActiveProgram& active, const ShardContext& context);

} // namespace fescue
