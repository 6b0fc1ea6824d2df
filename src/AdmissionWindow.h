#pragma once

/** \file
 * AdmissionWindow: how many calls a VM keeps in flight at one target.
 *
 * Engines admit requests as they arrive, so what exceeds their batch should wait here, where it can be
 * ordered. The window grows while calls start without queueing and shrinks when they queue at the target:
 * additive increase, multiplicative decrease on delay, after Vegas (Brakmo and Peterson, 1995) and
 * Jacobson's congestion avoidance (1988).
 */

#include "Types.h"

namespace fescue {

/** Calls that may be in flight at one target. */
struct AdmissionWindow {
    double size_ = 8;
    MonotonicTime shrunkAt_;
};

/** Bounds of a window. */
struct WindowLimits {
    double min_ = 2;
    double max_ = 64;
    double shrinkFactor_ = 0.8;
    Milliseconds maxQueueing_ { 8000 }; ///< Longer waits at the target shrink the window.
    Milliseconds shrinkInterval_ { 2000 }; ///< At most one decrease in this time.
};

/** Takes the time that a call waited at the target before it was computed.
 *
 * `inFlight` counts the calls there, the ended one included; a window that is not used does not grow.
 * Thread safety: none; the caller holds the pool's lock. */
void adaptWindow(AdmissionWindow& window, Milliseconds queueing, std::uint32_t inFlight, MonotonicTime now,
    const WindowLimits& limits);

/** Shrinks the window when the target reports that calls wait for a place in its batch; at most once in
 * `shrinkInterval_`. */
void shrinkWindow(AdmissionWindow& window, MonotonicTime now, const WindowLimits& limits);

} // namespace fescue
