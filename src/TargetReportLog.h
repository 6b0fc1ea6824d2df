#pragma once

/** \file
 * TargetReportLog: logs changes of the list of targets, and what a VM does not take from it at once, since a
 * target may be in use because of it.
 */

#include "TargetList.h"

#include <map>
#include <optional>

namespace fescue {

/** Logs the targets that are new, have changed or are gone. Thread-safe. */
void logTargetChanges(
    const std::map<TargetId, TargetEntry>& before, const std::map<TargetId, TargetEntry>& now);

/** Logs a report that is older than the known one, and a removal that is held back. `entry` is nothing for a
 * removal. Thread-safe. */
void logIgnoredReport(
    const TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now);

} // namespace fescue
