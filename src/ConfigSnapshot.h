#pragma once

/** \file
 * ConfigSnapshot: accepted configuration that outlives the retention of the stream it was published on.
 *
 * The log keeps records for a limited time. A snapshot is the configuration after a prefix of the stream
 * `config`. It is a pure function of that prefix, so it does not matter which VM wrote it. Snapshots have a
 * separate stream: operators do not publish there, so no publication can be mistaken for a snapshot, and a VM
 * that follows `config` does not read every snapshot. A reader that finds the stream to begin after its own
 * position continues from the newest snapshot that covers the gap, and is unready while there is none.
 *
 *     config            (expired ... 40) 41 42 43
 *     config-snapshots  as of 12, as of 41        -> load the second, then apply 42 and 43
 */

#include "ConfigFold.h"

#include <random>

namespace fescue {

/** Name of the stream that holds snapshots. */
constexpr const char* configSnapshotStream = "config-snapshots";

/** Whether entries after `config.lastReadOffset_` have expired; `first` is the oldest entry in the log. Pure.
 */
bool hasGap(const Config& config, LogOffset first);

/** Whether a reader of `config` whose stream begins at `first` can continue from `snapshot`. Pure. */
bool coversGap(const Config& config, const Config& snapshot, LogOffset first);

/** The configuration as an entry of the snapshot stream. Pure.
 *
 * Precondition: `config` is not blocked. */
std::string snapshotEntry(const Config& config);

/** Parses an entry of the snapshot stream. Pure. Errors: `ManifestError` when it was not written by
 * `snapshotEntry`, is damaged, or requires rules that this software does not support. */
tl::expected<Config, ManifestError> parseSnapshot(const std::string& entry);

/** When a VM checks whether a snapshot is due. */
struct SnapshotSchedule {
    Milliseconds period_ { 600000 }; ///< A third of the log's retention, or less.
    MonotonicTime nextCheckAt_;
    LogOffset seenEnd_; ///< End of the snapshot stream at the last check; 0 before the first.
};

/** Sets the next check to a random time between half a period and a full period from now. */
void scheduleNextCheck(SnapshotSchedule& schedule, MonotonicTime now, std::mt19937_64& random);

/** Whether this VM must write a snapshot; `streamEnd` is the current end of the snapshot stream, and becomes
 * `schedule.seenEnd_`.
 *
 * A snapshot is due when no VM has written one since the last check. All VMs check at different times, so
 * one of them writes and the others see its snapshot; a duplicate is harmless. */
bool isSnapshotDue(SnapshotSchedule& schedule, LogOffset streamEnd);

} // namespace fescue
