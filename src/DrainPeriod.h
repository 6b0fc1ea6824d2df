#pragma once

/** \file
 * DrainPeriod: how long an entry VM goes on serving after SIGTERM.
 *
 * The platform kills the process at the end of its grace period. All requests are answered somewhat earlier,
 * so that the answers can still be sent.
 */

#include "Types.h"

#include <optional>

namespace fescue {

/** The drain of a VM. Not thread-safe, like all functions here. */
struct DrainPeriod {
    Milliseconds grace_ { 0 }; ///< From SIGTERM until the platform kills the process.
    std::optional<MonotonicTime> startedAt_; ///< Nothing unless a drain has started.
};

/** Takes another grace period over. A drain that has started only becomes shorter, since the platform may go
 * by either period. */
void setGrace(DrainPeriod& drain, Milliseconds grace);

/** When the last request must have been answered. Pure. Precondition: the drain has started. */
MonotonicTime lastAnswerAt(const DrainPeriod& drain);

/** Whether a request with this deadline cannot be taken any more. Pure. */
bool endsBefore(const DrainPeriod& drain, MonotonicTime deadline);

/** Whether the platform sends no more requests, so that the VM may end once it has answered all. Pure.
 * Precondition: the drain has started. */
bool isTrafficStopped(const DrainPeriod& drain, MonotonicTime lastRequest, MonotonicTime now);

} // namespace fescue
