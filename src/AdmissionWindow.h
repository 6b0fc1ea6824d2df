#pragma once

/** \file
 * AdmissionWindow: limits the calls that a VM keeps in flight at one target.
 *
 * Engines admit requests in order of arrival, so calls beyond an engine's batch should wait in this process,
 * where they can be ordered. The window grows while calls start without queueing at the target and shrinks
 * when they queue there: additive increase, multiplicative decrease on delay, after Vegas (Brakmo and
 * Peterson, 1995) and Jacobson's congestion avoidance (1988).
 */

#include "Types.h"

namespace fescue {

/** Number of calls that may be in flight at one target. */
struct AdmissionWindow {
    double size_ = 8;
    MonotonicTime shrunkAt_;
};

/** Bounds of a window. */
struct WindowLimits {
    double min_ = 2;
    double max_ = 64;
    double shrinkFactor_ = 0.8;
    Milliseconds maxQueueing_ { 8000 }; ///< Longer queueing at the target shrinks the window.
    Milliseconds shrinkInterval_ { 2000 }; ///< Minimum time between two decreases.
};

/** Adjusts the window to the time that a finished call queued at the target.
 *
 * `inFlight` is the number of calls at the target, including the finished one; a window that is not fully
 * used does not grow. Thread safety: none; the caller holds the pool's lock. */
void adaptWindow(AdmissionWindow& window, Milliseconds queueing, std::uint32_t inFlight, MonotonicTime now,
    const WindowLimits& limits);

/** Shrinks the window because the target reports calls that wait for a slot in its batch; at most once per
 * `shrinkInterval_`. */
void shrinkWindow(AdmissionWindow& window, MonotonicTime now, const WindowLimits& limits);

} // namespace fescue
