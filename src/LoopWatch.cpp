#include "LoopWatch.h"

#include <algorithm>
#include <ctime>

namespace fescue {

namespace {

    constexpr Milliseconds minPause { 1500 };
    // Callers notice a loop that does not come round for this long.
    constexpr Milliseconds minBusy { 250 };
    constexpr Milliseconds reportInterval { 1000 };

    // Whether the process ran for most of the time that it may run.
    bool ranThroughout(const LoopGap& gap, double share)
    {
        constexpr double part = 0.5;
        return static_cast<double>(gap.used_.count())
            >= static_cast<double>(gap.passed_.count()) * std::min(1.0, share) * part;
    }

} // namespace

Milliseconds usedProcessorTime()
{
    timespec used {};
    if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0)
        return Milliseconds { 0 };
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    return Milliseconds { used.tv_sec * msPerSecond + used.tv_nsec / nsPerMs };
}

LoopGap takeTick(LoopWatch& watch, MonotonicTime now, Milliseconds used)
{
    LoopGap gap;
    if (watch.tickAt_) {
        gap.passed_ = now - *watch.tickAt_;
        gap.used_ = used - watch.used_;
    }
    watch.tickAt_ = now;
    watch.used_ = used;
    gap.isPause_ = gap.passed_ > minPause;
    if (gap.passed_ < minBusy || !ranThroughout(gap, watch.share_))
        return gap;
    watch.longestBusy_ = std::max(watch.longestBusy_, gap.passed_);
    if (now >= watch.reportAt_) {
        gap.isBusy_ = true;
        watch.reportAt_ = now + reportInterval;
    }
    return gap;
}

} // namespace fescue
