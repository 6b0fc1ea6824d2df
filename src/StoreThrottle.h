#pragma once

/** \file
 * StoreThrottle: adaptive client-side rate limit for calls to the platform's store.
 *
 * The store has one rate limit for all VMs together and refuses calls above it. If each VM retried refused
 * calls at a fixed interval, the retries alone would keep the store at its limit after a burst or an outage.
 * Each VM therefore has its own rate, which a refusal halves and each served call raises (additive increase,
 * multiplicative decrease; Chiu and Jain, 1989). While the store serves no calls, the VM probes it with one
 * call at a time, with exponential backoff and jitter.
 *
 * The timeout adapts to the latency of the answers (moving average and mean deviation; Jacobson, 1988): a
 * call whose answer was lost is retried soon, and a store that has become slow gets a longer timeout.
 */

#include "ProgramId.h"
#include "Types.h"

namespace fescue {

using CallsPerSecond = Quantity<struct CallsPerSecondTag, double>;

/** Limits of the throttle. */
struct StoreThrottleOptions {
    CallsPerSecond maxRate_ { 400 }; ///< Half of the lowest known limit of a store.
    CallsPerSecond minRate_ { 4 }; ///< A turn that needs two calls gets them within half a second.
    CallsPerSecond rateIncrease_ { 1 }; ///< Per served call; the rate doubles in less than a second.
    double burstSeconds_ = 0.1; ///< Size of the burst, as seconds at the current rate.
    std::uint32_t maxInFlight_ = 32; ///< At 4 ms a call, more than the maximum rate needs.
    Milliseconds initialBackoff_ { 100 }; ///< The time of some 25 calls to a healthy store.
    Milliseconds maxBackoff_ { 1600 }; ///< Bounds the delay until a VM notices that the store is back.
    /** Within this time the timeout adapts even to a store that has become fifty times slower. */
    Milliseconds failingAfter_ { 700 };
    /** Three refusals, with the pauses between them, take about this long. */
    Milliseconds refusingAfter_ { 150 };
    Milliseconds minTimeout_ { 120 }; ///< Longer than the pauses of a busy VM or network.
    Milliseconds maxTimeout_ { 800 }; ///< With a longer timeout callers would miss their deadlines.
};

/** The throttle of one VM. */
struct StoreThrottle {
    StoreThrottleOptions options_;
    CallsPerSecond rate_ { 100 };
    double credits_ = 8; ///< Calls that may start at once.
    MonotonicTime creditsAt_; ///< When `credits_` was computed.
    std::uint32_t inFlight_ = 0;
    std::uint32_t failures_ = 0; ///< Consecutive, without a served call in between.
    MonotonicTime failingSince_; ///< Time of the first of these failures.
    MonotonicTime notBefore_; ///< No call may start earlier.
    double meanLatencyMs_ = 100; ///< Moving average.
    double latencyDeviationMs_ = 50; ///< Mean deviation.
    std::uint32_t timeouts_ = 0; ///< Consecutive, without an answer in between.
};

/** How a call ended. */
enum class StoreCallOutcome {
    Served,
    OverRate, ///< The store is over its rate limit.
    Refused, ///< The store is down or refuses this VM.
    TimedOut, ///< No answer in time.
};

/** Whether a call may start. Pure. None of these functions is thread-safe; use them on the event loop. */
bool canCallStore(const StoreThrottle& throttle, MonotonicTime now);

/** Records the start of a call. */
void onStoreCallStarted(StoreThrottle& throttle, MonotonicTime now);

/** Whether calls have failed for so long that waiting turns should be refused. Pure. */
bool isStoreFailing(const StoreThrottle& throttle, MonotonicTime now);

/** Whether the store has turned away several calls in a row, with none served in between, so that another VM
 * can probably serve a turn sooner. A store that is only slow does not do that. Pure. */
bool isStoreRefusing(const StoreThrottle& throttle, MonotonicTime now);

/** Returns the timeout of a call that starts now. Pure. */
Milliseconds storeTimeout(const StoreThrottle& throttle);

/** Updates the latency estimate. */
void recordStoreLatency(StoreThrottle& throttle, Milliseconds latency);

/** Records the end of a call. Failures during a backoff are ignored, so concurrent failures count once. */
void onStoreCallEnded(StoreThrottle& throttle, StoreCallOutcome outcome, MonotonicTime now, Random& random);

} // namespace fescue
