#pragma once

/** \file
 * Quarantine: refuses requests that crash the targets that run them.
 *
 * When a target crashes, the crash is recorded for the content digest of each call that ran there. At a
 * threshold of crashes the digest is quarantined, whatever its idempotency key; a complete answer clears it.
 * When a target crashes for another reason, it is recorded in the same way. Calls that are one crash short of
 * the threshold are suspects. Suspects never share a target, so that the next crash usually quarantines only
 * one of them.
 *
 * VMs that share targets exchange their records. Then the crashes of a digest are the union of what all of
 * them have recorded, and each crash is attributed to one digest: that with the most crashes is quarantined
 * first, and its crashes do not count for the digests that ran beside it.
 */

#include "QueuedCall.h"

#include <map>
#include <set>
#include <utility>

namespace fescue {

/** Identifies one end of a target's process, the same for all VMs that saw it. */
using CrashId = Identifier<struct CrashTag>;

/** Crashes recorded for one digest. */
struct CrashRecord {
    std::map<WriterId, std::set<CrashId>> crashes_; ///< By the process that recorded them.
    MonotonicTime last_;
};

/** Number of targets that a request may crash before it is refused. */
constexpr std::uint32_t crashesToQuarantine = 2;

/** Recorded crashes by digest. */
struct Quarantine {
    std::map<ContentDigest, CrashRecord> records_;
    std::set<std::pair<MonotonicTime, ContentDigest>> byLast_; ///< The records, oldest last crash first.
    std::set<ContentDigest> quarantined_; ///< Derived from the records.
    std::uint32_t threshold_ = crashesToQuarantine;
    std::size_t maxDigests_ = 4096;
    Milliseconds crashExpiry_ { 600000 }; ///< Crashes expire this long after the last one.
    WriterId own_; ///< This process; may stay empty if records are not exchanged.
    std::uint64_t unsharedCrashes_ = 0;
    bool isAttributionDeferred_ = false; ///< See `deferAttribution`.
    bool isAttributionDue_ = false; ///< Something has changed meanwhile.
};

/** Number of unexpired crashes of a digest. Pure. */
std::uint32_t crashCount(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether one more crash would reach the threshold, or has. Pure. */
bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether calls with this digest are refused. Pure. */
bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Records a crash that is attributed to this digest alone. Thread safety of this and of all functions below:
 * none; the caller holds the pool's lock. */
void recordCrash(Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Records a crash that may be recorded for other digests, too, here and by other processes. */
void recordCrash(Quarantine& quarantine, ContentDigest digest, const CrashId& crash, MonotonicTime now);

/** Withdraws a crash that this process has recorded. */
void withdrawCrash(Quarantine& quarantine, ContentDigest digest, const CrashId& crash);

/** Replaces the crashes that one process has recorded for a digest; an empty set withdraws them. */
void replaceCrashes(Quarantine& quarantine, ContentDigest digest, const WriterId& recordedBy,
    std::set<CrashId> crashes, MonotonicTime now);

/** Clears a digest after a complete answer. */
void clearCrashes(Quarantine& quarantine, ContentDigest digest);

/** Leaves `quarantined_` as it is, but for digests whose records are erased, until `resumeAttribution`. To be
 * called before many changes at once, since each may look at all records. */
void deferAttribution(Quarantine& quarantine);
/** Brings `quarantined_` up to date. */
void resumeAttribution(Quarantine& quarantine);

} // namespace fescue
