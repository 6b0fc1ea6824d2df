#include "StorePace.h"

#include <algorithm>

namespace fescue {

namespace {

    double savedBy(const StorePace& pace, MonotonicTime now)
    {
        double most = std::max(1.0, pace.rate_.value_ * pace.options_.burstSeconds_);
        double seconds = std::chrono::duration<double>(now - pace.savedAt_).count();
        return std::min(std::max(most, pace.saved_), pace.saved_ + seconds * pace.rate_.value_);
    }

    void setRate(StorePace& pace, double rate, MonotonicTime now)
    {
        pace.saved_ = savedBy(pace, now);
        pace.savedAt_ = now;
        pace.rate_ = { std::clamp(rate, pace.options_.lowest_.value_, pace.options_.highest_.value_) };
    }

    // Equal jitter (Brooker, "Exponential Backoff And Jitter", 2015).
    void pause(StorePace& pace, MonotonicTime now, Random& random)
    {
        constexpr std::uint32_t mostDoublings = 4;
        constexpr int half = 2;
        Milliseconds longest = std::min(pace.options_.longestPause_,
            pace.options_.firstPause_ * (1U << std::min(pace.failures_, mostDoublings)));
        std::uniform_int_distribution<std::int64_t> jitter(longest.count() / half, longest.count());
        pace.notBefore_ = now + Milliseconds { jitter(random) };
        ++pace.failures_;
    }

} // namespace

bool mayCallStore(const StorePace& pace, MonotonicTime now)
{
    // After a failure one call finds out whether the store serves again.
    std::uint32_t most = pace.failures_ > 0 ? 1 : pace.options_.mostUnderWay_;
    return now >= pace.notBefore_ && pace.underWay_ < most && savedBy(pace, now) >= 1;
}

void storeCallBegan(StorePace& pace, MonotonicTime now)
{
    ++pace.underWay_;
    pace.saved_ = std::max(0.0, savedBy(pace, now) - 1);
    pace.savedAt_ = now;
}

void storeCallEnded(StorePace& pace, StoreCallEnd how, MonotonicTime now, Random& random)
{
    --pace.underWay_;
    if (how == StoreCallEnd::Served) {
        pace.failures_ = 0;
        return setRate(pace, pace.rate_.value_ + pace.options_.raise_.value_, now);
    }
    if (now < pace.notBefore_)
        return;
    constexpr double half = 0.5;
    if (how == StoreCallEnd::OverRate)
        setRate(pace, pace.rate_.value_ * half, now);
    pause(pace, now, random);
}

} // namespace fescue
