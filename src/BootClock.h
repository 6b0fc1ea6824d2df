#pragma once

/** \file
 * BootClock: time that also passes while the VM is suspended.
 *
 * The steady clock stands still then, so deadlines and ages measured by it would be too young afterwards.
 */

#include "Types.h"

#include <ctime>

namespace fescue {

/** Now, comparable with other values of this function only. Safe from any thread. */
inline MonotonicTime bootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    return MonotonicTime { Milliseconds { time.tv_sec * msPerSecond + time.tv_nsec / nsPerMs } };
}

} // namespace fescue
