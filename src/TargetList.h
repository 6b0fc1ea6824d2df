#pragma once

/** \file
 * TargetList: the targets announced in the platform's store, and which of them are leaving.
 *
 * Entries expire while the store is unavailable and reappear soon after it recovers. So an entry that is
 * removed right after an outage is dropped only if a read after a grace period still misses it. In all other
 * cases the list follows the store at once: a target that leaves gets no more calls.
 *
 * A write of a target can be delayed, so the store may hold an older report behind a newer one. Reports are
 * ordered by the start of the target's process and their number, not by their place in the store.
 */

#include "Types.h"
#include "VersionHistory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue {

/** A target's own announcement. */
struct TargetEntry {
    TargetId id_;
    ServiceId service_;
    std::string address_; ///< `ip:port`.
    ZoneId zone_;
    std::uint32_t slots_ = 0;
    bool isLeaving_ = false;
    Milliseconds startedAt_ { 0 }; ///< Start of its process since the Unix epoch; 0 when unknown.
    std::uint64_t heartbeat_ = 0; ///< Grows with each report of its process.
    SoftwareVersion version_; ///< Empty when it states none.
};

/** The last report of an entry that was removed; a delayed older one may follow. */
struct RemovedEntry {
    TargetEntry entry_;
    MonotonicTime removedAt_;
};

/** Reports that are older than the known one, but go on. */
struct RivalReports {
    Milliseconds startedAt_ { 0 };
    std::uint64_t heartbeat_ = 0; ///< Of the last one.
    MonotonicTime since_;
};

/** The announced targets. */
struct TargetList {
    std::map<TargetId, TargetEntry> entries_;
    /** Removed right after an outage; kept during the grace period. */
    std::map<TargetId, MonotonicTime> missingSince_;
    std::optional<MonotonicTime> reconnectedAt_; ///< When the store last recovered from an outage.
    bool isComplete_ = false; ///< The full list has been read at least once.
    MonotonicTime readAt_; ///< Start of the last read of the store that reached the end.
    MonotonicTime followedSince_; ///< From then on it was read to the end at short intervals.
    VersionHistory versions_;
    std::map<TargetId, RemovedEntry> removed_;
    std::map<TargetId, RivalReports> rivals_; ///< No newer report has come since.
};

/** Time after a recovery of the store within which expired entries of live targets reappear, as documented by
 * the platform. */
constexpr Milliseconds missingEntryGracePeriod { 2000 };

/** How long removals wait for a read that starts after the grace period. With the grace period and the time
 * in which a VM notices that it reaches the store again, this has to stay below the 3 s after a disruption in
 * which a VM may use targets that have left. */
constexpr Milliseconds maxFinalReadTime { 150 };

/** Delayed writes of a target are carried out within seconds. */
constexpr Milliseconds lateReportRetention { 60000 };

/** Older reports that go on for this long, while no newer one comes, are those of a process whose clock or
 * numbers began anew, not delayed ones. */
constexpr Milliseconds rivalConfirmationTime { 4000 };

/** Applies a change of one entry; no entry means that it was removed or is invalid. A report that is older
 * than the last known one of its target is ignored. */
void applyTargetChange(
    TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now);

/** Whether a report was written before the one that is known of the same target. Writes can be delayed, so
 * the log may hold reports in another order than the target made them. Pure. */
bool isOlderReport(const TargetEntry& report, const TargetEntry& known);

/** Replaces the list by a full read of the store. */
void applyFullList(TargetList& list, const std::vector<TargetEntry>& entries, MonotonicTime now);

/** The versions of a service that are listed, or were within the retention period. Pure. */
std::set<SoftwareVersion> recentVersions(
    const TargetList& list, const ServiceId& service, Milliseconds retention, MonotonicTime now);

/** The version of all targets of a service within the retention period, as of the last read. Nothing if there
 * were several, or if the list is old or was not followed for the whole period, so that one may have been
 * missed. Another VM may have used a newer version since that read. Pure. */
std::optional<SoftwareVersion> soleVersion(
    const TargetList& list, const ServiceId& service, Milliseconds retention, MonotonicTime now);

/** Records that a read of the store which began at `startedAt` has reached the end. */
void markRead(TargetList& list, MonotonicTime startedAt);

/** Records that the list could be read again after reads had failed. Only if that took so long that entries
 * of live targets may have lapsed, their removals wait; `minLapse` is the shortest such outage. */
void recordStoreReconnect(TargetList& list, Milliseconds minLapse, MonotonicTime now);

/** Whether a removal waits for the end of the grace period. Pure. */
bool isRemovalHeld(const TargetList& list, MonotonicTime now);

/** Whether entries are missing after the grace period, and no read has started since that would show which of
 * them are back. Pure. */
bool awaitsFinalRead(const TargetList& list, MonotonicTime now);

/** Removes entries still missing in a read that started after the grace period, or without one if it takes
 * too long. Returns whether any was removed. */
bool removeMissing(TargetList& list, MonotonicTime now);

/** Whether two reports of a target say the same, apart from their numbers. Pure. */
bool isSameTarget(const TargetEntry& a, const TargetEntry& b);

/** Whether two lists differ in reports only that say the same as the ones before. Pure. */
bool isSameList(const std::map<TargetId, TargetEntry>& a, const std::map<TargetId, TargetEntry>& b);

} // namespace fescue
