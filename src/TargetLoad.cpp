#include "TargetLoad.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr double sampleWeight = 0.1;
    constexpr double stepSlowdownPerCall
        = 0.02; // Fraction by which each call in a batch lengthens its steps.
    constexpr std::int64_t minComputedTokensForPace = 500;
    constexpr std::int64_t minAnswerTokensForPace = 8;
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
    void updatePrefillPace(TargetPace& pace, double perToken)
    {
        constexpr double drift = 1.02;
        pace.prefillMs_ = std::max(minPrefillMs, std::min(pace.prefillMs_ * drift, perToken));
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
    updateAverage(load.pace_.running_, report.running_);
    dropSentBefore(load, now - maxReportLag);
}

Milliseconds updatePace(TargetLoad& load, const PaceSample& sample, std::uint32_t inFlight)
{
    TargetPace& pace = load.pace_;
    auto firstOutput = static_cast<double>(sample.firstOutput_.count());
    auto total = static_cast<double>(sample.total_.count());
    auto computed = static_cast<double>(sample.computed_.value_);
    ++pace.samples_;
    // The first samples form a plain average, since the initial values do not come from this target.
    double weight = std::max(sampleWeight, 1.0 / pace.samples_);
    updateAverage(pace.callMs_, total, weight);
    if (!load.reportedAt_)
        updateAverage(pace.running_, inFlight);
    if (sample.completion_.value_ >= minAnswerTokensForPace)
        updateAverage(
            pace.tokenMs_, (total - firstOutput) / static_cast<double>(sample.completion_.value_), weight);
    if (sample.computed_.value_ >= minComputedTokensForPace)
        updatePrefillPace(pace, firstOutput / computed);
    double queueing = std::max(0.0, firstOutput - computed * pace.prefillMs_);
    return Milliseconds { static_cast<std::int64_t>(queueing) };
}

double firstTokenMs(const TargetLoad& load, TokenCount uncached)
{
    auto ahead = load.report_.queuedTokens_ + load.unreportedTokens_ + uncached;
    double batchWait = load.report_.waiting_ * load.pace_.callMs_ / std::max(1U, load.report_.running_);
    return static_cast<double>(ahead.value_) * load.pace_.prefillMs_ + batchWait;
}

double costMs(const TargetLoad& load, TokenCount uncached, double answerTokens, double assumedRunning)
{
    constexpr double minStepFactor = 0.2;
    const TargetPace& pace = load.pace_;
    double running = estimateRunning(load, assumedRunning);
    double stepFactor = std::max(minStepFactor, 1 + stepSlowdownPerCall * (running - pace.running_));
    double own = firstTokenMs(load, uncached) + answerTokens * pace.tokenMs_ * stepFactor;
    double prefillOfOthers = static_cast<double>(uncached.value_) * pace.prefillMs_ * running;
    double answersOfOthers = answerTokens * pace.tokenMs_ * stepSlowdownPerCall * running;
    return own + prefillOfOthers + answersOfOthers;
}

} // namespace fescue
