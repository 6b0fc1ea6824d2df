#pragma once

/** \file
 * VersionHistory: the software versions whose targets have served each service lately.
 *
 * What two versions write does not fit together, so a stream goes on only at the version that began it. While
 * a service has had a single version for longer than any stream lasts, that version began them all, and
 * nothing has to be kept or asked.
 */

#include "TargetList.h"

#include <map>
#include <optional>
#include <set>

namespace fescue {

/** Versions seen in the list of targets. */
struct VersionHistory {
    /** Versions older than this are dropped. Longer than a caller takes up a stream after its begin. */
    Milliseconds retention_ { 10000 };
    std::map<ServiceId, std::map<SoftwareVersion, MonotonicTime>> lastSeen_;
    std::optional<MonotonicTime> coveredSince_; ///< No change of the list was missed from then on.
    MonotonicTime readAt_; ///< Of the last list that was recorded.
};

/** Records the versions of a list, if it has been read since the last call. */
void recordVersions(VersionHistory& history, const TargetList& list);

/** The versions that were seen within the retention period. Pure. */
std::set<SoftwareVersion> recentVersions(const VersionHistory& history, const ServiceId& service);

/** The version of all targets of a service within the retention period. Nothing if there were several, or if
 * the list is old or was not followed for the whole period, so that one may have been missed. Pure. */
std::optional<SoftwareVersion> soleVersion(
    const VersionHistory& history, const ServiceId& service, MonotonicTime now);

} // namespace fescue
