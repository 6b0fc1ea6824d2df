#pragma once

/** \file
 * BootClock: a monotonic clock that keeps running while the VM is suspended.
 *
 * The steady clock stops during a suspension, so deadlines and ages based on it would be too short after a
 * resume.
 */

#include "Types.h"

#include <ctime>

namespace fescue {

/** Returns the current time; only comparable with other values of this function. Thread-safe. */
inline MonotonicTime bootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    return MonotonicTime { Milliseconds { time.tv_sec * msPerSecond + time.tv_nsec / nsPerMs } };
}

} // namespace fescue
