#pragma once

/** \file
 * LedgerSnapshot: a ledger as text, and how a reader starts where older records have aged out.
 *
 * The log keeps records for a limited time. An owner writes the ledger again as a `ShardSnapshot` before
 * its records age out. A reader that begins beyond a gap keeps what it reads until it meets a snapshot
 * whose state reaches up to the first entry that it has, and folds on from there:
 *
 *     gone 1..40 | 41 batch | 42 batch | 43 snapshot, as of 42 | 44 batch
 *     reader: keeps 41 and 42, takes the state as of 42, folds 43 and 44
 *
 * Without such a snapshot its ledger is not complete: a program that it does not know may exist, and a call
 * of it may have run.
 */

#include "Shard.h"

namespace fescue {

/** The ledger as one line of JSON; equal ledgers have equal texts. Pure. */
std::string toJsonText(const Ledger& ledger);

/** Reads what `toJsonText` wrote. Pure. Errors: `RecordError` names the missing or ill-typed member. */
tl::expected<Ledger, RecordError> parseLedger(const std::string& text);

/** Whether the owner has to write a snapshot: soon after it took the shard over, and then by the number of
 * entries and by time. Pure. */
bool isSnapshotDue(const Shard& shard, const ShardContext& context);

/** Puts a snapshot of the confirmed state into the outbox. Thread safety: none. */
void recordSnapshot(Shard& shard, const ShardContext& context);

/** Starts reading anew at `first`, since the entries from `ledger_.readTo_` on have aged out.
 *
 * An owner that was away for that long is none any more; its callers get the effects that are returned.
 * Thread safety: none; the caller holds the lock of the shard. Precondition: `first` is beyond
 * `ledger_.readTo_ + 1`. */
Effects startGapRecovery(Shard& shard, LogOffset first);

/** Takes in an entry while a gap is open. True when the entry closed it; then `ledger_` holds all that was
 * read, this entry too. Thread safety: none. */
bool applyDuringGapRecovery(Shard& shard, LogOffset offset, const Batch& batch);

/** Gives up on a snapshot: the ledger is not complete, and holds no program of before. Which of the batches
 * count cannot be told without what came before them. Thread safety: none. */
void abandonGapRecovery(Shard& shard);

} // namespace fescue
