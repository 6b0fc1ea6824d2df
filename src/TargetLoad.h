#pragma once

/** \file
 * TargetLoad: estimates a target's load and speed from its delayed reports and from this VM's calls.
 *
 * A report describes the past, so the calls that this VM has sent since are added to it. The speed is
 * estimated from completed calls, which also reveals a target that is slow without failing.
 */

#include "Types.h"

#include <deque>
#include <optional>

namespace fescue {

/** Load that a target reports. */
struct LoadReport {
    std::uint32_t running_ = 0; ///< Calls in the batch.
    std::uint32_t waiting_ = 0; ///< Calls that wait for a slot in the batch.
    TokenCount queuedTokens_; ///< Prompt tokens not computed yet.
};

/** Speed of a target: moving averages over completed calls. */
struct TargetSpeed {
    double prefillMs_ = 0.1; ///< Per uncached prompt token.
    double tokenMs_ = 20; ///< Per generated token.
    double callMs_ = 5000; ///< Total duration of a call.
    double running_ = 1; ///< Batch size to which these averages apply.
    std::uint32_t samples_ = 0;
};

/** A call sent too recently to be included in a report. */
struct UnreportedCall {
    MonotonicTime sentAt_;
    TokenCount tokens_;
};

/** Estimated load and speed of a target. */
struct TargetLoad {
    LoadReport report_;
    std::optional<MonotonicTime> reportedAt_;
    std::deque<UnreportedCall> unreported_; ///< Oldest first.
    TokenCount unreportedTokens_;
    TargetSpeed speed_;
};

/** Maximum delay of load reports. */
constexpr Milliseconds maxReportLag { 1500 };

/** Age at which a report is discarded. */
constexpr Milliseconds reportExpiry { 15000 };

/** Timing of one completed call. */
struct SpeedSample {
    Milliseconds firstOutput_ { 0 }; ///< From sending to the first token.
    Milliseconds total_ { 0 };
    TokenCount computed_; ///< Prompt tokens that were not cached.
    TokenCount completion_;
};

/** Records a call sent to the target. Thread safety of all functions: none; the caller holds the pool's lock.
 */
void recordSentCall(TargetLoad& load, TokenCount uncached, MonotonicTime now);

/** Replaces the last report. */
void recordReport(TargetLoad& load, const LoadReport& report, MonotonicTime now);

/** Updates the speed from a completed call; returns the estimated time that the call queued at the target. */
Milliseconds updateSpeed(TargetLoad& load, const SpeedSample& sample, std::uint32_t inFlight);

/** Expected time to the first token of a call with this many uncached prompt tokens. Pure. */
double firstTokenMs(const TargetLoad& load, TokenCount uncached);

/** Cost of running a call: its expected duration plus the delay of the calls in its batch, which stall while
 * its prompt is computed. `assumedRunning` is the batch size of a target that does not report its load. Pure.
 */
double costMs(const TargetLoad& load, TokenCount uncached, double answerTokens, double assumedRunning);

} // namespace fescue
