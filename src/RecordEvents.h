#pragma once

/** \file
 * RecordEvents: event log lines about a shard's records as they are appended and read back.
 *
 * An append logs one `batch_appended` line and each reader logs one `batch_read` line for it, so the timeline
 * can order them by writer and sequence number. The owner also logs a line per record, since calls wait for
 * single records. `logEffect` logs the effects of decisions.
 */

#include "Shard.h"

namespace fescue {

/** Logs that a batch is being appended, with its records. */
void logBatchAppended(const ShardKey& shard, const Batch& batch);

/** Logs that a batch was read at an offset of its stream. If `isConfirmed`, the reader wrote it and it is
 * valid at this offset; its records are then logged as well. */
void logBatchRead(const ShardKey& shard, LogOffset offset, const Batch& batch, bool isConfirmed);

/** Logs that a call was admitted or attached to, or that a program ended; ignores other effects. */
void logEffect(const ShardKey& shard, const Effect& effect);

} // namespace fescue
