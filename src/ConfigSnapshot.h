#pragma once

/** \file
 * ConfigSnapshot: accepted configuration that outlives the retention of the stream it was published on.
 *
 * The log keeps records for a limited time. A snapshot is the configuration after a prefix of the stream
 * `config`, a pure function of that prefix, so it is the same whoever wrote it. Snapshots have a stream of
 * their own: operators do not publish there, so none of their entries can be taken for one, and a VM that
 * follows `config` does not read each snapshot. A reader that finds the stream to begin beyond what it has
 * read goes on from the newest snapshot that reaches the beginning, and is not ready while there is none.
 *
 *     config            (aged out ... 40) 41 42 43
 *     config-snapshots  as of 12, as of 41        -> start with the second, then fold 42 and 43
 */

#include "ConfigFold.h"

#include <random>

namespace fescue {

/** Name of the stream that holds snapshots. */
constexpr const char* configSnapshotStream = "config-snapshots";

/** Whether entries that follow `config.readTo_` have aged out, given the oldest that the log has. Pure. */
bool hasGap(const Config& config, LogOffset first);

/** Whether a reader of `config` whose stream begins at `first` can go on from `snapshot`. Pure. */
bool coversGap(const Config& config, const Config& snapshot, LogOffset first);

/** The configuration as an entry of the stream of snapshots. Pure.
 *
 * Precondition: `config` is not blocked. */
std::string snapshotEntry(const Config& config);

/** Reads an entry of the stream of snapshots. Pure. Errors: `ManifestError` when it was not written by
 * `snapshotEntry`, is damaged, or is under rules that this software does not know. */
tl::expected<Config, ManifestError> parseSnapshot(const std::string& entry);

/** When a VM looks whether a snapshot is due. */
struct SnapshotSchedule {
    Milliseconds period_ { 600000 }; ///< A third of the log's retention, or less.
    MonotonicTime nextCheckAt_;
    LogOffset seenEnd_; ///< End of the stream of snapshots when this VM last looked; 0 when it has not.
};

/** Sets the next look to a random time between half a period and a whole one. Pure but for the generator. */
void scheduleNextCheck(SnapshotSchedule& schedule, MonotonicTime now, std::mt19937_64& random);

/** Whether this VM has to write a snapshot, given the end of the stream of snapshots. Pure.
 *
 * It has when nobody wrote one since its last look. All VMs look at different times, so one of them writes
 * and the others see it; a second copy does no harm. */
bool isSnapshotDue(SnapshotSchedule& schedule, LogOffset streamEnd);

} // namespace fescue
