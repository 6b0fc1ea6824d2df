#pragma once

/** \file
 * Quarantine: requests that crash the targets which run them.
 *
 * When a target breaks off, each call that it was running is suspect and gets a strike under the digest of
 * its content, before a second target sees it. A second strike puts the digest into quarantine, whatever key
 * it comes under; a whole answer clears it. A target that dies of itself takes innocent calls down: they have
 * one strike, and since suspects never share a target, the next crash condemns at most one of them.
 */

#include "QueuedCall.h"

#include <map>

namespace fescue {

/** Strikes against one digest. */
struct Strikes {
    std::uint32_t count_ = 0;
    MonotonicTime last_;
};

/** What is held against digests. */
struct Quarantine {
    std::map<ContentDigest, Strikes> strikes_;
    std::size_t maxDigests_ = 4096;
    Milliseconds strikeExpiry_ { 600000 }; ///< A digest without further strikes is cleared after this time.
};

/** Targets that a request may take down before it is refused. */
constexpr std::uint32_t strikesToQuarantine = 2;

/** Whether a digest has a strike. Pure. */
bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Whether a digest is to be refused. Pure. */
bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Records a strike. Thread safety of these: none; the pool's lock is held. */
void recordStrike(Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Clears a digest whose call came to its end. */
void clearStrikes(Quarantine& quarantine, ContentDigest digest);

} // namespace fescue
