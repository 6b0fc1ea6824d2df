#pragma once

/** \file
 * StorePace: when a VM may call the platform's store, learned from the answers.
 *
 * The store has one limit on calls for all VMs together and refuses what is above it. If each VM repeated
 * refused calls at a fixed pace, the repeats alone would keep the store at its limit after a burst or an
 * outage is over. So a VM has a rate of its own, which a refusal halves and each served call raises (additive
 * increase, multiplicative decrease; Chiu and Jain, 1989). While the store does not serve at all, one call at
 * a time finds out whether it is back, after longer and longer pauses with jitter.
 *
 * How long an answer is awaited follows from the answers as well (smoothed time and its deviation; Jacobson,
 * 1988): a call whose answer was lost is repeated soon, and a store that has become slow is waited for.
 */

#include "ProgramId.h"
#include "Types.h"

namespace fescue {

/** Calls in a second. */
using CallsPerSecond = Quantity<struct CallsPerSecondTag, double>;

/** Bounds of the pace. */
struct StorePaceOptions {
    CallsPerSecond highest_ { 400 }; ///< Half of the lowest limit of a store that we know of.
    CallsPerSecond lowest_ { 4 }; ///< A turn that waits for two calls gets them within half a second.
    CallsPerSecond raise_ { 1 }; ///< By each served call, so that the rate doubles in less than a second.
    double burstSeconds_ = 0.1; ///< Time of which calls may be saved up.
    std::uint32_t mostUnderWay_ = 32; ///< At 4 ms a call more than the highest rate needs.
    Milliseconds firstPause_ { 100 }; ///< As long as some 25 calls of a healthy store.
    Milliseconds longestPause_ { 1600 }; ///< Bounds how late a VM notices the store's return.
    /** Time-outs of a store that has become fifty times slower reach its answers within this time. */
    Milliseconds failingAfter_ { 700 };
    Milliseconds shortestTimeout_ { 120 }; ///< Above the pauses of a busy VM or network.
    Milliseconds longestTimeout_ { 800 }; ///< Longer waits cost callers their deadlines.
};

/** The pace of one VM. */
struct StorePace {
    StorePaceOptions options_;
    CallsPerSecond rate_ { 100 };
    double saved_ = 8; ///< Calls that may begin at once.
    MonotonicTime savedAt_; ///< When `saved_` held.
    std::uint32_t underWay_ = 0;
    std::uint32_t failures_ = 0; ///< In a row, without a served call between them.
    MonotonicTime failingSince_; ///< Of the first of them.
    MonotonicTime notBefore_; ///< No call begins earlier.
    double answerMs_ = 100; ///< Smoothed time of an answer.
    double deviationMs_ = 50; ///< Its mean deviation.
    std::uint32_t timeouts_ = 0; ///< In a row, without an answer between them.
};

/** How a call ended. */
enum class StoreCallEnd {
    Served,
    OverRate, ///< The store has too many calls.
    Refused, ///< It is down, or turns this VM away.
    TimedOut, ///< No answer in time.
};

/** Whether a call may begin. Pure. Thread safety of all functions: none; they belong to the event loop. */
bool mayCallStore(const StorePace& pace, MonotonicTime now);

/** Notes that a call begins. */
void storeCallBegan(StorePace& pace, MonotonicTime now);

/** Whether no call has been served for so long that those which wait should not wait on. Pure. */
bool isStoreFailing(const StorePace& pace, MonotonicTime now);

/** How long to wait for the answer of a call that begins now. Pure. */
Milliseconds storeTimeout(const StorePace& pace);

/** Notes how long an answer took. */
void storeAnswered(StorePace& pace, Milliseconds took);

/** Notes that a call has ended. Of calls that fail during one pause only the first one counts. */
void storeCallEnded(StorePace& pace, StoreCallEnd how, MonotonicTime now, Random& random);

} // namespace fescue
