#pragma once

/** \file
 * LoopWatch: how regularly the event loop comes round.
 *
 * A long time between two ticks has one of two causes: the process did not run, or it ran and did not come
 * back. The processor time that it used meanwhile tells which.
 */

#include "Types.h"

#include <optional>

namespace fescue {

/** Returns the processor time that the calling thread has used. Thread-safe. */
Milliseconds usedProcessorTime();

/** The last tick. Not thread-safe, like the function below. */
struct LoopWatch {
    double share_ = 1; ///< Of a core that the process may use.
    std::optional<MonotonicTime> tickAt_;
    Milliseconds used_ { 0 }; ///< Processor time at the last tick.
    MonotonicTime reportAt_; ///< When a busy loop may be reported again.
    Milliseconds longestBusy_ { 0 }; ///< The longest time between two ticks in which the process ran.
};

/** The time since the last tick. */
struct LoopGap {
    Milliseconds passed_ { 0 };
    Milliseconds used_ { 0 }; ///< Processor time.
    bool isPause_ = false; ///< So long that cached state must be considered stale.
    bool isBusy_ = false; ///< The process ran all the while; set at most once in a second.
};

/** Records a tick at `now`, with the processor time used so far. */
LoopGap takeTick(LoopWatch& watch, MonotonicTime now, Milliseconds used);

} // namespace fescue
