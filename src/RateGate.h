#pragma once

/** \file
 * RateGate: lets calls pass to a target that has named a rate only with a permit; see `RatePermits`.
 */

#include "RateLimits.h"

namespace fescue {

/** The gate of a VM before a target. Thread safety of all functions: none; the caller holds the pool's lock.
 */
struct RateGate {
    std::optional<RequestRate> rate_; ///< Of all VMs together; the gate is open without one.
    std::uint32_t permits_ = 0;
    MonotonicTime permitsExpireAt_; ///< A permit that is kept for longer would add to a burst.
    MonotonicTime heldUntil_; ///< There are no more permits before this time.
    std::optional<RequestRate> expected_; ///< The part of the rate that this VM may expect.
    std::uint32_t waiting_ = 0; ///< Calls that chose the target in the last dispatch and have no permit.
    bool isAsked_ = false; ///< A request for permits is in flight.
};

/** Sets the rate; nothing opens the gate. */
void setRate(RateGate& gate, const std::optional<RequestRate>& rate);

/** Whether a call may pass now. Pure. */
bool isOpen(const RateGate& gate, MonotonicTime now);

/** Whether a call neither may pass nor can get a permit now. Pure. */
bool isHeld(const RateGate& gate, MonotonicTime now);

/** Uses a permit if the gate needs one. Precondition: `isOpen`. */
void passGate(RateGate& gate);

/** Takes in the reply to a request for permits. If it grants none, the gate is held for at least
 * `minRetryAfter`, whatever the VM that replied has said. */
void addPermits(RateGate& gate, std::uint32_t granted, Milliseconds retryAfter,
    const std::optional<RequestRate>& expected, MonotonicTime now);

} // namespace fescue
