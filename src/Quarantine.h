#pragma once

/** \file
 * Quarantine: refuses requests that crash the targets that run them.
 *
 * When a target's connection is lost, a crash is recorded for the content digest of each call that ran
 * there, and these calls become suspects. A second crash quarantines the digest, whatever its idempotency
 * key; a complete answer clears it. When a target crashes for another reason, it is recorded in the same way.
 * Suspects never share a target, so the next crash quarantines at most one of them.
 */

#include "QueuedCall.h"

#include <map>

namespace fescue {

/** Crashes recorded for one digest. */
struct CrashRecord {
    std::uint32_t count_ = 0;
    MonotonicTime last_;
};

/** Recorded crashes by digest. */
struct Quarantine {
    std::map<ContentDigest, CrashRecord> crashes_;
    std::size_t maxDigests_ = 4096;
    Milliseconds crashExpiry_ { 600000 }; ///< Crashes expire this long after the last one.
};

/** Number of targets that a request may crash before it is refused. */
constexpr std::uint32_t crashesToQuarantine = 2;

/** Number of unexpired crashes of a digest. Pure. */
std::uint32_t crashCount(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether a digest has an unexpired crash. Pure. */
bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether calls with this digest are refused. Pure. */
bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Records a crash. Thread safety of this and `clearCrashes`: none; the caller holds the pool's lock. */
void recordCrash(Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Clears a digest after a complete answer. */
void clearCrashes(Quarantine& quarantine, ContentDigest digest);

} // namespace fescue
