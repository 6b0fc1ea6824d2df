#pragma once

/** \file
 * TargetLoad: what is known of a target's load and speed, from its lagging reports and from our own calls.
 *
 * A report tells the past, so what this VM has sent since is added to it. The pace is learned from answers
 * and so also shows a target that is slow without failing.
 */

#include "Types.h"

#include <deque>
#include <optional>

namespace fescue {

/** Load as a target reports it. */
struct LoadReport {
    std::uint32_t running_ = 0; ///< Calls in the batch.
    std::uint32_t waiting_ = 0; ///< Calls that wait for a place in the batch.
    TokenCount queuedTokens_; ///< Prompt tokens that are still to be computed.
};

/** Speed of a target as its answers show it; moving averages. */
struct TargetPace {
    double prefillMs_ = 0.1; ///< For one prompt token that is not cached.
    double tokenMs_ = 20; ///< Between two tokens of an answer.
    double callMs_ = 5000; ///< Whole call.
    double running_ = 1; ///< Batch that these hold for.
    std::uint32_t samples_ = 0;
};

/** A call sent so lately that no report shows it. */
struct UnreportedCall {
    MonotonicTime sentAt_;
    TokenCount tokens_;
};

/** Load and speed of a target. */
struct TargetLoad {
    LoadReport report_;
    std::optional<MonotonicTime> reportedAt_;
    std::deque<UnreportedCall> unreported_; ///< Oldest first.
    TokenCount unreportedTokens_;
    TargetPace pace_;
};

/** How far load reports lag behind. */
constexpr Milliseconds maxReportLag { 1500 };

/** Age from which a report tells nothing any more. */
constexpr Milliseconds reportExpiry { 15000 };

/** What one finished call shows of its target's speed. */
struct PaceSample {
    Milliseconds firstOutput_ { 0 }; ///< From sending to the first token.
    Milliseconds total_ { 0 };
    TokenCount computed_; ///< Prompt tokens that were not cached.
    TokenCount completion_;
};

/** Notes a call that goes to the target. Thread safety of all functions: none; the pool's lock is held. */
void recordSentCall(TargetLoad& load, TokenCount uncached, MonotonicTime now);

/** Takes a report. */
void recordReport(TargetLoad& load, const LoadReport& report, MonotonicTime now);

/** Takes the speed of a finished call; returns the time that the call queued at the target. */
Milliseconds updatePace(TargetLoad& load, const PaceSample& sample, std::uint32_t inFlight);

/** Expected time until the first token of a call with so many uncached tokens. Pure. */
double firstTokenMs(const TargetLoad& load, TokenCount uncached);

/** Cost of running a call: the expected time until its answer is whole, plus the delay that it brings to the
 * calls that stepFactor the batch, which all stand still while its prompt is computed. Pure. `assumedRunning`
 * is the batch of a target that does not report its load. */
double costMs(const TargetLoad& load, TokenCount uncached, double answerTokens, double assumedRunning);

} // namespace fescue
