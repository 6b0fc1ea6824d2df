#pragma once

/** \file
 * TargetReportLog: logs what a VM does not take from the list of targets at once, since a target may be in
 * use because of it.
 */

#include "TargetList.h"

#include <optional>

namespace fescue {

/** The state of a target as it is logged. Pure. */
const char* stateOf(const TargetEntry& entry);

/** Logs a report that is older than the known one, and a removal that is held back. `entry` is nothing for a
 * removal. Thread-safe. */
void logIgnoredReport(
    const TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now);

} // namespace fescue
