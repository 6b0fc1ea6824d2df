#pragma once

/** \file
 * RecordEvents: the event log's lines about a shard's records on their way to the log and back.
 *
 * An append is one `batch_appended` line, and each reader has one `batch_read` line for it, so the time
 * line can put them in order by writer and sequence number. The owner also has a line for each record: it
 * is what the callers' calls wait for. What a decision lets happen is told by `logEffect`.
 */

#include "Shard.h"

namespace fescue {

/** Tells that a batch is being appended, and what it holds. */
void logBatchAppended(const ShardKey& shard, const Batch& batch);

/** Tells that a batch was read at an offset of its stream. `isConfirmed` says that the reader wrote it and
 * that it is valid at this offset; its records are then told one by one. */
void logBatchRead(const ShardKey& shard, LogOffset offset, const Batch& batch, bool isConfirmed);

/** Tells of a call that the owner lets run or attach to, and of a program's end. */
void logEffect(const ShardKey& shard, const Effect& effect);

} // namespace fescue
