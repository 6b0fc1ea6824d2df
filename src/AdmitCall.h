#pragma once

/** \file
 * AdmitCall: the first decision about a call at its program's home.
 *
 * In order: is the program known and the caller's own, is this a repeat, is it the program's next call,
 * does it continue the program's history, and does its worst case fit the budget. Only then may it run,
 * and a call that may run at most once only after the log has confirmed its intent.
 */

#include "Shard.h"

namespace fescue {

/** Lets a call in, attaches it to the running one, answers it from what is stored, or refuses it.
 *
 * Precondition: `call.program_` belongs to this shard. Thread safety: none; the caller holds the lock of
 * the shard. A refusal is a `ReplyProblem`, given at once. For an at-most-once call its `not-run` speaks of
 * this request, and `mayHaveRunEarlier_` is set: only a confirmed intent shows that no other owner has run an
 * earlier one. For a call that may be repeated, `not-run` is true of the attempts under this VM's epoch. */
Effects admitCall(Shard& shard, const Call& call, const ShardContext& context);

/** Answers a repeat from the batch that was read at `reply.offset_`; nothing when the log no longer has it.
 * Pure. */
Effects answerFromLog(const ReplyFromLog& reply, const std::optional<Batch>& batch);

/** Whether a caller speaks of something that this owner has not seen: a program that it does not know, or a
 * call beyond the program's next one. Then another VM may have taken the shard over, and the log is read
 * before anything is decided.
 *
 * Pure; the caller holds the lock of the shard. `number` is 0 when no call is meant. */
bool isPossiblyStale(const Shard& shard, const ProgramId& program, CallNumber number);

/** Starts a waiting call whose tranche has come, or asks for the next one. Called by ShardLog. */
Effects startIfFunded(
    Shard& shard, const ProgramId& program, ActiveProgram& active, const ShardContext& context);

} // namespace fescue
