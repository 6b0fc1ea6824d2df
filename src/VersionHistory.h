#pragma once

/** \file
 * VersionHistory: the software versions whose targets were listed lately, by service.
 *
 * What two versions write does not fit together, so a stream goes on only at the version that began it. While
 * a service has had a single version for longer than any stream lasts, that version began them all, and
 * nothing has to be kept or asked.
 */

#include "Types.h"

#include <map>
#include <optional>

namespace fescue {

/** Versions seen in the entries of targets. */
struct VersionHistory {
    std::map<ServiceId, std::map<SoftwareVersion, MonotonicTime>> lastSeen_;
    std::optional<MonotonicTime> coveredSince_; ///< No entry was missed from then on.
};

/** Records the version of an entry. */
void recordVersion(
    VersionHistory& history, const ServiceId& service, const SoftwareVersion& version, MonotonicTime now);

/** Records that entries may have been missed before `now`. */
void restartCoverage(VersionHistory& history, MonotonicTime now);

} // namespace fescue
