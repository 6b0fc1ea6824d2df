#include "StoreThrottle.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    double availableCredits(const StoreThrottle& throttle, MonotonicTime now)
    {
        double limit = std::max(1.0, throttle.rate_.value_ * throttle.options_.burstSeconds_);
        double seconds = std::chrono::duration<double>(now - throttle.creditsAt_).count();
        return std::min(
            std::max(limit, throttle.credits_), throttle.credits_ + seconds * throttle.rate_.value_);
    }

    void setRate(StoreThrottle& throttle, double rate, MonotonicTime now)
    {
        throttle.credits_ = availableCredits(throttle, now);
        throttle.creditsAt_ = now;
        throttle.rate_
            = { std::clamp(rate, throttle.options_.minRate_.value_, throttle.options_.maxRate_.value_) };
    }

    // Equal jitter (Brooker, "Exponential Backoff And Jitter", 2015).
    void backOff(StoreThrottle& throttle, MonotonicTime now, Random& random)
    {
        constexpr std::uint32_t maxDoublings = 4;
        constexpr int half = 2;
        Milliseconds upperBound = std::min(throttle.options_.maxBackoff_,
            throttle.options_.initialBackoff_ * (1U << std::min(throttle.failures_, maxDoublings)));
        std::uniform_int_distribution<std::int64_t> jitter(upperBound.count() / half, upperBound.count());
        throttle.notBefore_ = now + Milliseconds { jitter(random) };
        ++throttle.failures_;
    }

} // namespace

bool canCallStore(const StoreThrottle& throttle, MonotonicTime now)
{
    // After a failure, a single probe checks whether the store serves again.
    std::uint32_t limit = throttle.failures_ > 0 ? 1 : throttle.options_.maxInFlight_;
    return now >= throttle.notBefore_ && throttle.inFlight_ < limit && availableCredits(throttle, now) >= 1;
}

void onStoreCallStarted(StoreThrottle& throttle, MonotonicTime now)
{
    ++throttle.inFlight_;
    throttle.credits_ = std::max(0.0, availableCredits(throttle, now) - 1);
    throttle.creditsAt_ = now;
}

Milliseconds storeTimeout(const StoreThrottle& throttle)
{
    constexpr double deviations = 4;
    constexpr std::uint32_t maxDoublings = 3;
    constexpr double minFactor = 2; // Keeps a margin when the latency hardly varies.
    double expectedMs = std::max(minFactor * throttle.meanLatencyMs_,
        throttle.meanLatencyMs_ + deviations * throttle.latencyDeviationMs_);
    Milliseconds expected { static_cast<std::int64_t>(expectedMs) };
    Milliseconds timeout = std::max(expected, throttle.options_.minTimeout_)
        * (1U << std::min(throttle.timeouts_, maxDoublings));
    return std::min(timeout, throttle.options_.maxTimeout_);
}

void recordStoreLatency(StoreThrottle& throttle, Milliseconds latency)
{
    constexpr double weight = 0.125; // Jacobson's gains.
    constexpr double deviationWeight = 0.25;
    double error = static_cast<double>(latency.count()) - throttle.meanLatencyMs_;
    // An increase takes effect at once, so that calls to a slower store do not time out.
    throttle.meanLatencyMs_ += error > 0 ? error : weight * error;
    throttle.latencyDeviationMs_ += deviationWeight * (std::abs(error) - throttle.latencyDeviationMs_);
    throttle.timeouts_ = 0;
}

bool isStoreFailing(const StoreThrottle& throttle, MonotonicTime now)
{
    return throttle.failures_ > 0 && now >= throttle.failingSince_ + throttle.options_.failingAfter_;
}

bool isStoreRefusing(const StoreThrottle& throttle, MonotonicTime now)
{
    constexpr std::uint32_t minRefusals = 3; // A single one may be a lost connection.
    return throttle.failures_ >= throttle.timeouts_ + minRefusals
        && now >= throttle.failingSince_ + throttle.options_.refusingAfter_;
}

void onStoreCallEnded(StoreThrottle& throttle, StoreCallOutcome outcome, MonotonicTime now, Random& random)
{
    --throttle.inFlight_;
    if (outcome == StoreCallOutcome::Served) {
        throttle.failures_ = 0;
        return setRate(throttle, throttle.rate_.value_ + throttle.options_.rateIncrease_.value_, now);
    }
    if (now < throttle.notBefore_)
        return;
    if (throttle.failures_ == 0)
        throttle.failingSince_ = now;
    constexpr double half = 0.5;
    if (outcome == StoreCallOutcome::OverRate)
        setRate(throttle, throttle.rate_.value_ * half, now);
    if (outcome == StoreCallOutcome::TimedOut) {
        ++throttle.failures_; // The timeout itself was already a backoff.
        ++throttle.timeouts_;
        return;
    }
    backOff(throttle, now, random);
}

} // namespace fescue
