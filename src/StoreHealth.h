#pragma once

/** \file
 * StoreHealth: whether the platform's store answers this VM, as its last calls show.
 */

#include "Types.h"

#include <algorithm>
#include <string>

namespace fescue {

/** What the last calls showed. */
struct StoreHealth {
    bool isUp_ = true;
    std::uint32_t failures_ = 0; ///< In a row.
    MonotonicTime changedAt_;
    MonotonicTime answeredAt_; ///< Of the last answer.
};

/** Failures in a row after which the store counts as unreachable: one alone may be a lost connection. */
constexpr std::uint32_t failuresUntilDown = 2;
/** A store that has answered other calls so lately is not unreachable, though it may lose some answers. */
constexpr Milliseconds answeredLately { 600 };

/** Takes the outcome of a call. Returns true when `isUp_` changed. */
inline bool takeStoreOutcome(StoreHealth& health, bool isAnswered, MonotonicTime now)
{
    health.failures_ = isAnswered ? 0 : health.failures_ + 1;
    if (isAnswered)
        health.answeredAt_ = now;
    bool hasFailed = health.failures_ >= failuresUntilDown && now >= health.answeredAt_ + answeredLately;
    bool isUp = isAnswered || (health.isUp_ && !hasFailed);
    if (isUp == health.isUp_)
        return false;
    health.isUp_ = isUp;
    health.changedAt_ = now;
    return true;
}

/** Bounds of the time after which a caller is asked to come back. Callers wait for a third of their time at
 * most, which is one or two seconds. */
constexpr Milliseconds shortestOutageWait { 600 };
constexpr Milliseconds longestOutageWait { 2000 };

/** When the store is expected back. An outage of which nothing is known lasts about as long again as it has
 * lasted, so callers that come during a long one do not use up all their attempts before its end. */
inline Milliseconds returnExpectedIn(const StoreHealth& health, MonotonicTime now)
{
    if (health.isUp_)
        return shortestOutageWait;
    Milliseconds soFar = std::chrono::duration_cast<Milliseconds>(now - health.changedAt_);
    return std::clamp(soFar, shortestOutageWait, longestOutageWait);
}

/** As `takeStoreOutcome`, with a log line when the store was lost or regained. `seenBy` names the topic or
 * part that made the call, `status` is that of its answer, 0 without one. Not safe from several threads. */
bool noteStoreOutcome(
    StoreHealth& health, bool isAnswered, const std::string& seenBy, int status, MonotonicTime now);

} // namespace fescue
