#include "TargetLoad.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr double sampleWeight = 0.1;
    constexpr double stepSlowdownPerCall
        = 0.02; // Fraction by which each call in a batch lengthens its steps.
    constexpr std::int64_t minComputedTokensForSpeed = 500;
    constexpr std::int64_t minAnswerTokensForSpeed = 8;
    constexpr double minPrefillMs = 0.005;

    void updateAverage(double& average, double sample, double weight = sampleWeight)
    {
        average += weight * (sample - average);
    }

    double estimateRunning(const TargetLoad& load, double assumedRunning)
    {
        if (!load.reportedAt_)
            return assumedRunning;
        return load.report_.running_ + static_cast<double>(load.unreported_.size());
    }

    void dropSentBefore(TargetLoad& load, MonotonicTime time)
    {
        while (!load.unreported_.empty() && load.unreported_.front().sentAt_ < time) {
            load.unreportedTokens_ -= load.unreported_.front().tokens_;
            load.unreported_.pop_front();
        }
    }

    // The minimum time per token is that of a call that did not queue. The estimate drifts upwards, so that
    // it can follow a target that has become slower.
    void updatePrefillSpeed(TargetSpeed& speed, double perToken)
    {
        constexpr double drift = 1.02;
        speed.prefillMs_ = std::max(minPrefillMs, std::min(speed.prefillMs_ * drift, perToken));
    }

} // namespace

void recordSentCall(TargetLoad& load, TokenCount uncached, MonotonicTime now)
{
    load.unreported_.push_back({ now, uncached });
    load.unreportedTokens_ += uncached;
    dropSentBefore(load, now - reportExpiry);
    if (load.reportedAt_ && *load.reportedAt_ + reportExpiry < now) {
        load.reportedAt_.reset();
        load.report_ = {};
    }
}

void recordReport(TargetLoad& load, const LoadReport& report, MonotonicTime now)
{
    load.report_ = report;
    load.reportedAt_ = now;
    updateAverage(load.speed_.running_, report.running_);
    dropSentBefore(load, now - maxReportLag);
}

Milliseconds updateSpeed(TargetLoad& load, const SpeedSample& sample, std::uint32_t inFlight)
{
    TargetSpeed& speed = load.speed_;
    auto firstOutput = static_cast<double>(sample.firstOutput_.count());
    auto total = static_cast<double>(sample.total_.count());
    auto computed = static_cast<double>(sample.computed_.value_);
    ++speed.samples_;
    // The first samples form a plain average, since the initial values do not come from this target.
    double weight = std::max(sampleWeight, 1.0 / speed.samples_);
    updateAverage(speed.callMs_, total, weight);
    if (!load.reportedAt_)
        updateAverage(speed.running_, inFlight);
    if (sample.completion_.value_ >= minAnswerTokensForSpeed)
        updateAverage(
            speed.tokenMs_, (total - firstOutput) / static_cast<double>(sample.completion_.value_), weight);
    if (sample.computed_.value_ >= minComputedTokensForSpeed)
        updatePrefillSpeed(speed, firstOutput / computed);
    double queueing = std::max(0.0, firstOutput - computed * speed.prefillMs_);
    return Milliseconds { static_cast<std::int64_t>(queueing) };
}

double firstTokenMs(const TargetLoad& load, TokenCount uncached)
{
    auto ahead = load.report_.queuedTokens_ + load.unreportedTokens_ + uncached;
    double batchWait = load.report_.waiting_ * load.speed_.callMs_ / std::max(1U, load.report_.running_);
    return static_cast<double>(ahead.value_) * load.speed_.prefillMs_ + batchWait;
}

double costMs(const TargetLoad& load, TokenCount uncached, double answerTokens, double assumedRunning)
{
    constexpr double minStepFactor = 0.2;
    const TargetSpeed& speed = load.speed_;
    double running = estimateRunning(load, assumedRunning);
    double stepFactor = std::max(minStepFactor, 1 + stepSlowdownPerCall * (running - speed.running_));
    double own = firstTokenMs(load, uncached) + answerTokens * speed.tokenMs_ * stepFactor;
    double prefillOfOthers = static_cast<double>(uncached.value_) * speed.prefillMs_ * running;
    double answersOfOthers = answerTokens * speed.tokenMs_ * stepSlowdownPerCall * running;
    return own + prefillOfOthers + answersOfOthers;
}

} // namespace fescue
