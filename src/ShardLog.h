#pragma once

/** \file
 * ShardLog: how a shard's state meets its log stream.
 *
 * One batch is in flight at a time. It stays there until it has been seen in the stream, so after a lost
 * answer the same batch (same writer and sequence number) is sent again and the first copy counts.
 * Offsets without a gap between an own append and what was read before stand for a read-back: nobody
 * else can have written in between.
 */

#include "Shard.h"

namespace fescue {

/** The batch to append next, or nothing when none is due. While one is in flight it is returned again.
 *
 * A batch ends with the record that reaches `sizeThreshold`. Thread safety: none; the caller holds the lock
 * of the shard. */
std::optional<Batch> takeBatch(
    Shard& shard, const WriterId& writer, ByteCount sizeThreshold = ShardLimits {}.batchSizeThreshold_);

/** The batch that claims the shard for `vm`; it is in flight from here on. Precondition: none is. */
Batch startClaim(Shard& shard, const WriterId& writer, const VmId& vm);

/** Ends this VM's epoch: waiting calls get their final answer, running ones go on for their callers only.
 *
 * Thread safety: none; the caller holds the lock of the shard. */
Effects loseOwnership(Shard& shard);

/** Forgets the state of a shard that another VM owns; it is read from the log again when it is needed.
 *
 * Precondition: the shard is not owned and nothing is in flight. Thread safety: none; the caller holds the
 * lock of the shard. */
void evictState(Shard& shard);

/** Folds an entry that was read from the log, or an own append whose place in the stream is known.
 *
 * When it is the batch in flight, the calls that waited for it are let run, and an own claim makes this
 * VM the owner. When it is another VM's claim, waiting calls get their final answer, running ones go on
 * for their callers only, and the shard is no longer owned. Thread safety: none; the caller holds the lock
 * of the shard. Precondition: that of `applyBatch`. */
Effects applyLogEntry(Shard& shard, LogOffset offset, const Batch& batch, const ShardContext& context);

} // namespace fescue
