#pragma once

/** \file
 * ShardLog: appends a shard's records and applies its log stream.
 *
 * One batch is in flight at a time, until it has been read from the stream. After a lost answer the same
 * batch (same writer and sequence number) is sent again, and only the first copy is applied. If an append
 * gets the offset right after the last entry read, no other VM has written in between, and the batch is
 * applied without being read back.
 */

#include "Shard.h"

namespace fescue {

/** Returns the next batch to append, or none if the outbox is empty. Returns the batch in flight if there is
 * one.
 *
 * A batch is full once its size reaches `sizeThreshold`. Thread safety: none; the caller holds the lock
 * of the shard. */
std::optional<Batch> takeBatch(
    Shard& shard, const WriterId& writer, ByteCount sizeThreshold = ShardLimits {}.batchSizeThreshold_);

/** Puts a batch that claims the shard for `vm` in flight and returns it. Precondition: no batch is in flight.
 */
Batch startClaim(Shard& shard, const WriterId& writer, const VmId& vm);

/** Ends this VM's epoch: waiting calls are forwarded or refused; running calls continue, but their outcome is
 * not recorded.
 *
 * Thread safety: none; the caller holds the lock of the shard. */
Effects loseOwnership(Shard& shard);

/** Evicts the state of a shard that this VM does not own; it is read from the log again when needed.
 *
 * Precondition: the shard is not owned and no batch is in flight. Thread safety: none; the caller holds the
 * lock of the shard. */
void evictState(Shard& shard);

/** Applies an entry that was read from the log, or an own append whose offset is known.
 *
 * If it is the batch in flight, the calls that waited for it are started, and an own claim makes this VM the
 * owner. If it is another VM's claim, this VM loses the shard; see `loseOwnership`. Thread safety: none; the
 * caller holds the lock of the shard. Precondition: that of `applyBatch`. */
Effects applyLogEntry(Shard& shard, LogOffset offset, const Batch& batch, const ShardContext& context);

} // namespace fescue
