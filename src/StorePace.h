#pragma once

/** \file
 * StorePace: when a VM may call the platform's store, learned from the answers.
 *
 * The store has one limit on calls for all VMs together and refuses what is above it. If each VM repeated
 * refused calls at a fixed pace, the repeats alone would keep the store at its limit after a burst or an
 * outage is over. So a VM has a rate of its own, which a refusal halves and each served call raises (additive
 * increase, multiplicative decrease; Chiu and Jain, 1989). While the store does not serve at all, one call at
 * a time finds out whether it is back, after longer and longer pauses with jitter.
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
};

/** The pace of one VM. */
struct StorePace {
    StorePaceOptions options_;
    CallsPerSecond rate_ { 100 };
    double saved_ = 8; ///< Calls that may begin at once.
    MonotonicTime savedAt_; ///< When `saved_` held.
    std::uint32_t underWay_ = 0;
    std::uint32_t failures_ = 0; ///< Pauses in a row without a served call between them.
    MonotonicTime notBefore_; ///< No call begins earlier.
};

/** How a call ended. */
enum class StoreCallEnd {
    Served,
    OverRate, ///< The store has too many calls.
    Failed, ///< It is down, slow or out of reach.
};

/** Whether a call may begin. Pure. Thread safety of all functions: none; they belong to the event loop. */
bool mayCallStore(const StorePace& pace, MonotonicTime now);

/** Notes that a call begins. */
void storeCallBegan(StorePace& pace, MonotonicTime now);

/** Notes that a call has ended. Of calls that fail during one pause only the first one counts. */
void storeCallEnded(StorePace& pace, StoreCallEnd how, MonotonicTime now, Random& random);

} // namespace fescue
