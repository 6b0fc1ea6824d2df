#pragma once

/** \file
 * Quarantine: refuses requests that crash the targets that run them.
 *
 * When a target's connection is lost, each call that ran there gets a strike under the digest of its content
 * and becomes a suspect. A second strike quarantines the digest, whatever its idempotency key; a complete
 * answer clears it. When a target crashes for another reason, calls that ran there get one strike as well.
 * Suspects never share a target, so the next crash quarantines at most one of them.
 */

#include "QueuedCall.h"

#include <map>

namespace fescue {

/** Strikes of one digest. */
struct Strikes {
    std::uint32_t count_ = 0;
    MonotonicTime last_;
};

/** Strikes by digest. */
struct Quarantine {
    std::map<ContentDigest, Strikes> strikes_;
    std::size_t maxDigests_ = 4096;
    Milliseconds strikeExpiry_ { 600000 }; ///< Strikes expire this long after the last one.
};

/** Number of targets that a request may crash before it is refused. */
constexpr std::uint32_t strikesToQuarantine = 2;

/** Whether a digest has an unexpired strike. Pure. */
bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether calls with this digest are refused. Pure. */
bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Records a strike. Thread safety of this and `clearStrikes`: none; the caller holds the pool's lock. */
void recordStrike(Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Clears a digest after a complete answer. */
void clearStrikes(Quarantine& quarantine, ContentDigest digest);

} // namespace fescue
