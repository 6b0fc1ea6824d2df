#pragma once

/** \file
 * StoreHealth: whether the platform's store is reachable from this VM, judged by the latest calls.
 */

#include "Types.h"

#include <algorithm>
#include <string>

namespace fescue {

/** The state derived from the latest calls. */
struct StoreHealth {
    bool isUp_ = true;
    std::uint32_t failures_ = 0; ///< Consecutive.
    MonotonicTime changedAt_;
    MonotonicTime answeredAt_; ///< Time of the last answer.
};

/** Consecutive failures after which the store counts as down; a single one may be a lost connection. */
constexpr std::uint32_t downAfterFailures = 2;
/** A store that has answered any call within this time counts as up even if some answers are lost. */
constexpr Milliseconds recentAnswerWindow { 600 };

/** Updates the state with the outcome of a call. Returns whether `isUp_` changed. */
inline bool updateStoreHealth(StoreHealth& health, bool isAnswered, MonotonicTime now)
{
    health.failures_ = isAnswered ? 0 : health.failures_ + 1;
    if (isAnswered)
        health.answeredAt_ = now;
    bool hasFailed = health.failures_ >= downAfterFailures && now >= health.answeredAt_ + recentAnswerWindow;
    bool isUp = isAnswered || (health.isUp_ && !hasFailed);
    if (isUp == health.isUp_)
        return false;
    health.isUp_ = isUp;
    health.changedAt_ = now;
    return true;
}

/** Bounds of the Retry-After time during an outage. Callers wait for at most a third of their deadline, which
 * is one or two seconds. */
constexpr Milliseconds minOutageRetryAfter { 600 };
constexpr Milliseconds maxOutageRetryAfter { 2000 };

/** Returns after what time callers should retry. An outage is expected to last about as long again as it has
 * lasted so far, so callers do not use up all their attempts before the end of a long outage. */
inline Milliseconds outageRetryAfter(const StoreHealth& health, MonotonicTime now)
{
    if (health.isUp_)
        return minOutageRetryAfter;
    Milliseconds outageDuration = std::chrono::duration_cast<Milliseconds>(now - health.changedAt_);
    return std::clamp(outageDuration, minOutageRetryAfter, maxOutageRetryAfter);
}

/** Same as `updateStoreHealth`, and logs when the store goes down or comes back. `seenBy` names the topic or
 * component that made the call; `status` is the status of its answer, 0 without one. Not thread-safe. */
bool recordStoreOutcome(
    StoreHealth& health, bool isAnswered, const std::string& seenBy, int status, MonotonicTime now);

} // namespace fescue
