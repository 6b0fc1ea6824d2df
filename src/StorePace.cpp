#include "StorePace.h"

#include <algorithm>
#include <cmath>

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

Milliseconds storeTimeout(const StorePace& pace)
{
    constexpr double deviations = 4;
    constexpr std::uint32_t mostDoublings = 3;
    constexpr double least = 2; // Times that hardly vary leave no room otherwise.
    double usualMs = std::max(least * pace.answerMs_, pace.answerMs_ + deviations * pace.deviationMs_);
    Milliseconds usual { static_cast<std::int64_t>(usualMs) };
    Milliseconds timeout
        = std::max(usual, pace.options_.shortestTimeout_) * (1U << std::min(pace.timeouts_, mostDoublings));
    return std::min(timeout, pace.options_.longestTimeout_);
}

void storeAnswered(StorePace& pace, Milliseconds took)
{
    constexpr double weight = 0.125; // Jacobson's gains.
    constexpr double deviationWeight = 0.25;
    double error = static_cast<double>(took.count()) - pace.answerMs_;
    // A store that has become slower is waited for at once.
    pace.answerMs_ += error > 0 ? error : weight * error;
    pace.deviationMs_ += deviationWeight * (std::abs(error) - pace.deviationMs_);
    pace.timeouts_ = 0;
}

bool isStoreFailing(const StorePace& pace, MonotonicTime now)
{
    return pace.failures_ > 0 && now >= pace.failingSince_ + pace.options_.failingAfter_;
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
    if (pace.failures_ == 0)
        pace.failingSince_ = now;
    constexpr double half = 0.5;
    if (how == StoreCallEnd::OverRate)
        setRate(pace, pace.rate_.value_ * half, now);
    if (how == StoreCallEnd::TimedOut) {
        ++pace.failures_; // The time-out was a pause already.
        ++pace.timeouts_;
        return;
    }
    pause(pace, now, random);
}

} // namespace fescue
