#pragma once

/** \file
 * LedgerSnapshot: serializes ledgers, and recovers a ledger where older records have expired.
 *
 * The log keeps records for its retention time only. An owner writes the ledger as a `ShardSnapshot` before
 * its records expire. A reader whose next entries have expired buffers what it reads until it finds a
 * snapshot that covers everything before its first entry, and continues from there:
 *
 *     expired 1..40 | 41 batch | 42 batch | 43 snapshot, as of 42 | 44 batch
 *     reader: buffers 41 and 42, loads the state as of 42, applies 43 and 44
 *
 * Without such a snapshot the ledger is incomplete: an unknown program may exist, and its calls may have run.
 */

#include "Shard.h"

namespace fescue {

/** Serializes the ledger as one line of JSON; equal ledgers give equal texts. Pure. */
std::string toJsonText(const Ledger& ledger);

/** Parses the output of `toJsonText`. Pure. Errors: `RecordError` names the missing or ill-typed member. */
tl::expected<Ledger, RecordError> parseLedger(const std::string& text);

/** Whether the owner should write a snapshot: the first after takeover, then by number of entries and by
 * time. Pure. */
bool isSnapshotDue(const Shard& shard, const ShardContext& context);

/** Adds a snapshot of the confirmed state to the outbox. Thread safety: none. */
void recordSnapshot(Shard& shard, const ShardContext& context);

/** Restarts the reader at `first`, since the entries after `ledger_.lastReadOffset_` have expired.
 *
 * An owner that has not read the log for that long loses its ownership; the effects answer its callers.
 * Thread safety: none; the caller holds the lock of the shard. Precondition: `first` is beyond
 * `ledger_.lastReadOffset_ + 1`. */
Effects startGapRecovery(Shard& shard, LogOffset first);

/** Buffers an entry during gap recovery. Returns true if its snapshot completes the recovery; `ledger_` then
 * covers everything read, including this entry. Thread safety: none. */
bool applyDuringGapRecovery(Shard& shard, LogOffset offset, const Batch& batch);

/** Ends gap recovery without a snapshot: the ledger is incomplete and holds no earlier programs, since the
 * validity of the buffered batches depends on the expired ones. Thread safety: none. */
void abandonGapRecovery(Shard& shard);

} // namespace fescue
